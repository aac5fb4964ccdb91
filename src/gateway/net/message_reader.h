// Reads one HTTP/1.1 message from bytes that arrive in pieces of any size. Used
// for requests of callers and for responses of backend servers and the store.
//
// Beast's parser does the parsing. Some of its assertions fail on bytes that a
// peer may send, so this class decides which bytes the parser gets, and when.

#ifndef MANGOYOKE_GATEWAY_NET_MESSAGE_READER_H_
#define MANGOYOKE_GATEWAY_NET_MESSAGE_READER_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include "mangoyoke/error.h"

namespace mangoyoke {

namespace http = boost::beast::http;

// Limits of one message, in bytes.
struct MessageLimits {
  uint32_t head = 8 << 10;
  uint64_t body = std::numeric_limits<uint64_t>::max();
};

// A body for Beast's parser that takes memory for the bytes that have arrived,
// while http::string_body takes it for the length that the head announces.
struct AppendedBody {
  using value_type = std::string;

  // Beast looks for this name.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool is_request, typename Fields>
    reader(http::header<is_request, Fields>& /*head*/, std::string& body)
        : body_(body) {}

    void init(const boost::optional<uint64_t>& /*length*/,
              boost::system::error_code& error) {
      error = {};
    }
    template <typename Buffers>
    size_t put(const Buffers& buffers, boost::system::error_code& error) {
      Reserve(boost::asio::buffer_size(buffers));
      for (auto buffer : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      error = {};
      return boost::asio::buffer_size(buffers);
    }
    void finish(boost::system::error_code& error) { error = {}; }

   private:
    // Makes room for `bytes` more, and for a part of the size beyond that.
    void Reserve(size_t bytes) {
      constexpr size_t kGrowthDivisor = 4;
      size_t size = body_.size() + bytes;
      if (size <= body_.capacity()) {
        return;
      }
      // A string that holds something already would double its capacity.
      std::string larger;
      larger.reserve(size + size / kGrowthDivisor);
      larger.append(body_);
      body_ = std::move(larger);
    }

    std::string& body_;
  };
};

// Bytes that are kept while they do not yet form a unit that can be read, such
// as the header of a chunk with its extensions.
inline constexpr size_t kMaxUnreadBytes = 64 << 10;

// Whether `bytes` begin with a part of a last chunk (size 0, extensions, line
// end, trailer, blank line) that is not whole. They start where the header of a
// chunk does, or with the line end that belongs to the chunk before
// (`after_chunk`).
bool IsPartOfLastChunk(std::string_view bytes, bool after_chunk);

// Reads one message. `is_request`: else a response. Not thread-safe.
template <bool is_request>
class MessageReader {
 public:
  using Message = http::message<is_request, http::string_body>;
  using Header = typename Message::header_type;

  explicit MessageReader(const MessageLimits& limits);
  // The parser refers to members of this object.
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  // The message has no body, whatever its head says: it responds to HEAD. Call
  // before the first Read.
  void SkipBody() { parser_.skip(true); }

  // Reads the next part of the message from `buffer` and removes it there: the
  // head, the header of a chunk, or bytes of the body. Returns the size of the
  // part; 0 if more bytes have to arrive first. Fails with kMalformedRequest
  // (also for a transfer coding other than chunked), kHeaderTooLarge (head or
  // trailer) or kRequestTooLarge, after which it must not be called again.
  // Requires that the message is not done.
  Result<size_t> Read(boost::beast::flat_buffer& buffer);
  // The connection ended in order. Returns whether that is the end of the
  // message. Requires the head.
  bool EndsWithConnection();

  bool head_done() const { return parser_.is_header_done(); }
  bool done() const { return parser_.is_done(); }
  // Requires the head.
  const Header& head() const { return parser_.get().base(); }
  // The length of the body as the head announces it; nothing if it does not.
  // Requires the head, and that no byte of the body was read.
  std::optional<uint64_t> body_length() const;
  // Whether the connection stays open after the message. Requires the head.
  bool keep_alive() const { return parser_.keep_alive(); }
  // Memory of the bytes of the body that were read and not taken yet.
  size_t body_memory() const { return parser_.get().body().capacity(); }
  // Removes and returns the bytes of the body read since the last call.
  std::string TakeBody();
  // Removes and returns the message, which is done. Its trailer is dropped: a
  // field in it must not count as one of the head.
  Message Release();

 private:
  // Whether the parser may not get the bytes in `buffer` before more of them
  // have arrived.
  bool HasToWait(const boost::beast::flat_buffer& buffer) const;
  // Whether the end of the message can be told from its head. Beast overlooks
  // codings that it does not know. Requires the head.
  bool HasKnownCoding() const;
  // Gives the parser the bytes in `buffer`. Returns how many it took.
  Result<size_t> Put(const boost::beast::flat_buffer& buffer);

  uint32_t head_limit_;
  http::parser<is_request, AppendedBody> parser_;
  std::function<
      void(uint64_t, boost::beast::string_view, boost::system::error_code&)>
      on_chunk_header_;
  // The head of a chunked message, to which the parser adds the trailer.
  std::optional<Header> head_without_trailer_;
  uint64_t chunk_left_ = 0;     // Bytes of the current chunk not read yet.
  bool chunk_started_ = false;  // A chunk with data was begun.
};

extern template class MessageReader<true>;
extern template class MessageReader<false>;

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_NET_MESSAGE_READER_H_
