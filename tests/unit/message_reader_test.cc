// MessageReader: what it makes of messages does not depend on how their bytes
// are split, and no bytes end the process.

#include "gateway/net/message_reader.h"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <random>
#include <string>
#include <vector>

namespace mangoyoke {
namespace {

// What became of the bytes of one message. Of a failed one, how much was read
// before depends on how the bytes arrived.
struct ReadOutcome {
  bool failed = false;
  bool head = false;
  bool done = false;
  std::string body;

  bool operator==(const ReadOutcome&) const = default;
};

void PrintTo(const ReadOutcome& outcome, std::ostream* out) {
  *out << "head " << outcome.head << ", done " << outcome.done << ", failed "
       << outcome.failed << ", body '" << outcome.body << "'";
}

constexpr MessageLimits kLimits{.head = 1 << 10, .body = 64 << 10};

// Reads `pieces` as one after another arrives.
template <bool is_request>
ReadOutcome ReadPieces(const std::vector<std::string>& pieces) {
  MessageReader<is_request> reader(kLimits);
  boost::beast::flat_buffer buffer;
  ReadOutcome outcome;
  for (const std::string& piece : pieces) {
    buffer.commit(boost::asio::buffer_copy(buffer.prepare(piece.size()),
                                           boost::asio::buffer(piece)));
    size_t used = 1;
    while (used > 0 && buffer.size() > 0 && !reader.done()) {
      auto read = reader.Read(buffer);
      if (!Ok(read)) {
        return ReadOutcome{.failed = true};
      }
      used = std::get<size_t>(read);
    }
    outcome.head = reader.head_done();
    outcome.done = reader.done();
  }
  outcome.body = reader.TakeBody();
  return outcome;
}

template <bool is_request>
void ExpectSameForEverySplit(const std::string& bytes) {
  ReadOutcome whole = ReadPieces<is_request>({bytes});
  for (size_t first = 0; first <= bytes.size(); ++first) {
    for (size_t second = first; second <= bytes.size(); ++second) {
      auto outcome = ReadPieces<is_request>(
          {bytes.substr(0, first), bytes.substr(first, second - first),
           bytes.substr(second)});
      ASSERT_EQ(outcome, whole)
          << "split at " << first << " and " << second << ": " << bytes;
    }
  }
  std::vector<std::string> single;
  for (char byte : bytes) {
    single.emplace_back(1, byte);
  }
  ASSERT_EQ(ReadPieces<is_request>(single), whole) << bytes;
}

// Chunked bodies, valid and not.
constexpr const char* kChunkedBodies[] = {
    "0\r\n\r\n",
    "00\r\n\r\n",
    "000000000000000000000\r\n\r\n",
    "0 \r\n\r\n",
    "0;\r\n\r\n",
    "0 \r\n",
    "0 junk",
    "0\rx\r\n\r\n",
    "0;a\r\n\r\n",
    "0;a=b\r\n\r\n",
    "0;a=\"x\r\n\r\n\"\r\n\r\n",
    "0\r\nX-Checksum: 0\r\n\r\n",
    "0\r\nX-Fold: a\r\n b\r\n\r\n",
    "0\r\nno field\r\n\r\n",
    "0\r\n: empty\r\n\r\n",
    "0x\r\n\r\n",
    "0g\r\n\r\n",
    "5\r\nhello\r\n0\r\n\r\n",
    "3\r\n0\r\n\r\n0\r\n\r\n",
    "1\r\nx\r\n0 \r\n\r\n",
    "1\r\nx\r\n00\r\nA: b\r\n\r\n",
    "1\r\nxx\r\n0\r\n\r\n",
    "1;x=y\r\n.\r\n01\r\n.\r\n0\r\n\r\n",
    "fffffffffffffffff\r\n",
    "-1\r\n",
    "\r\n0\r\n\r\n",
};

TEST(MessageReaderTest, ChunkedBodySplitAnywhereReadsTheSame) {
  for (const char* body : kChunkedBodies) {
    ExpectSameForEverySplit<true>(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
        std::string(body));
    ExpectSameForEverySplit<false>(
        "HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n" +
        std::string(body));
  }
}

TEST(MessageReaderTest, BodyWithLengthSplitAnywhereReadsTheSame) {
  for (const char* rest : {"Content-Length: 3\r\n\r\nabc",
                           "Content-Length: 0\r\n\r\n", "\r\nabc"}) {
    ExpectSameForEverySplit<true>("POST / HTTP/1.1\r\n" + std::string(rest));
    ExpectSameForEverySplit<false>("HTTP/1.1 200 \r\n" + std::string(rest));
  }
}

// Changes, inserts and removes bytes of messages, and splits them anywhere.
TEST(MessageReaderTest, RandomBytesEndNoProcess) {
  constexpr int kMessages = 20'000;
  constexpr char kBytes[] = "0123456789abcdefFxX \t\r\n;=\":-,\0\x7f\xff";
  std::minstd_rand random(20261205);
  auto below = [&random](size_t limit) { return random() % limit; };
  for (int i = 0; i < kMessages; ++i) {
    std::string bytes =
        i % 2 == 0 ? "POST /a?b HTTP/1.1\r\n" : "HTTP/1.1 200 OK\r\n";
    bytes += "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    bytes += kChunkedBodies[below(std::size(kChunkedBodies))];
    for (size_t change = below(4); change > 0; --change) {
      size_t at = below(bytes.size());
      char byte = kBytes[below(sizeof(kBytes) - 1)];
      switch (below(3)) {
        case 0:
          bytes[at] = byte;
          break;
        case 1:
          bytes.insert(at, 1, byte);
          break;
        default:
          bytes.erase(at, 1);
      }
    }
    std::vector<std::string> pieces;
    while (!bytes.empty()) {
      size_t size = 1 + below(bytes.size());
      pieces.push_back(bytes.substr(0, size));
      bytes.erase(0, size);
    }
    i % 2 == 0 ? ReadPieces<true>(pieces) : ReadPieces<false>(pieces);
  }
}

}  // namespace
}  // namespace mangoyoke
