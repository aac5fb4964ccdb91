// Messages that arrive in parts, for tests of both ends of HTTP connections.

#ifndef MANGOYOKE_TESTS_SUPPORT_SPLIT_MESSAGES_H_
#define MANGOYOKE_TESTS_SUPPORT_SPLIT_MESSAGES_H_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <string_view>
#include <thread>

#include "gateway/net/sockets.h"
#include "mangoyoke/clock.h"

namespace mangoyoke {

// Writes the parts of `text` between '|' one after the other, so that the other
// side reads them separately.
inline void WriteInParts(Tcp::socket& socket,
                         std::string_view text,
                         boost::system::error_code& error) {
  constexpr Millis kPause{30};
  while (!error) {
    size_t end = std::min(text.find('|'), text.size());
    boost::asio::write(socket, boost::asio::buffer(text.data(), end), error);
    if (end == text.size()) {
      return;
    }
    text.remove_prefix(end + 1);
    std::this_thread::sleep_for(kPause);
  }
}

// Chunked bodies, split where the parser can be asked twice for the same bytes.
inline constexpr const char* kSplitChunkedBodies[] = {
    "0\r\n|\r\n",
    "0\r\n|\r|\n",
    "0\r|\n|\r|\n",
    "0|\r|\n|\r|\n",
    "00\r\n|\r|\n",
    "0\r\n|A: b\r\n\r\n",
    "0\r\n\r|\n",
    "1\r\nx\r\n|0\r\n|\r|\n",
    "1\r\nx|\r\n0|\r\n|\r|\n",
    "3\r\n0\r\n|\r\n0\r\n|\r\n",
    "0\r\nX|-Checksum: 0\r\n\r\n",
    "0;a\r\n|\r\n",
};

// A last chunk that is malformed, in one piece and in two.
inline constexpr const char* kBadLastChunks[] = {"0 \r\n|\r\n", "0 \r\n",
                                                 "0;\r\n|", "1\r\nx\r\n0 \r\n"};

}  // namespace mangoyoke

#endif  // MANGOYOKE_TESTS_SUPPORT_SPLIT_MESSAGES_H_
