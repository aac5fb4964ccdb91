// Limits and checks for chunked bodies that the HTTP parser does not have.

#ifndef MANGOYOKE_GATEWAY_NET_CHUNKED_BODY_H_
#define MANGOYOKE_GATEWAY_NET_CHUNKED_BODY_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <string_view>

namespace mangoyoke {

// Bytes that are kept while they do not yet form a parsable unit, such as a
// chunk header with its extensions. The parser's limits cover only the head and
// the body itself.
inline constexpr size_t kMaxUnparsedBytes = 64 << 10;

// Whether `bytes` are a last chunk ("0" and a line end) without the end of the
// line that must follow. Beast's parser (1.74) terminates the process if it is
// given these bytes twice, so it must get no part of such a chunk before the
// rest has arrived.
inline bool IsIncompleteLastChunk(std::string_view bytes) {
  return bytes == "0\r\n" || bytes == "0\r\n\r" || bytes == "00\r\n";
}

// Whether the parser, to which `buffer` is to be passed next, has to wait for
// more bytes. `Parser` is a parser of Beast.
template <typename Parser>
bool HasToWaitForChunkEnd(const Parser& parser,
                          const boost::beast::flat_buffer& buffer) {
  auto data = buffer.data();
  return parser.is_header_done() && !parser.is_done() && parser.chunked() &&
         IsIncompleteLastChunk(std::string_view(
             static_cast<const char*>(data.data()), data.size()));
}

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_NET_CHUNKED_BODY_H_
