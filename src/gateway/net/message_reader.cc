// Decides which bytes the parser gets, and translates its errors.

#include "gateway/net/message_reader.h"

#include <algorithm>
#include <cctype>
#include <stdexcept>
#include <utility>

namespace mangoyoke {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kBlankLine = "\r\n\r\n";
constexpr std::string_view kChunked = "chunked";
constexpr int kHttp11 = 11;

std::string_view TextOf(const boost::beast::flat_buffer& buffer) {
  auto data = buffer.data();
  return {static_cast<const char*>(data.data()), data.size()};
}

Error ToError(const boost::system::error_code& error) {
  ErrorCode code = ErrorCode::kMalformedRequest;
  if (error == http::error::body_limit) {
    code = ErrorCode::kRequestTooLarge;
  } else if (error == http::error::header_limit) {
    code = ErrorCode::kHeaderTooLarge;
  }
  return Error{code, error.message()};
}

}  // namespace

bool IsPartOfLastChunk(std::string_view bytes, bool after_chunk) {
  if (after_chunk) {
    bytes.remove_prefix(std::min(bytes.size(), kLineEnd.size()));
  }
  size_t size_end = bytes.find_first_not_of('0');
  if (size_end == 0 || size_end == std::string_view::npos) {
    return false;  // Another size, or none yet.
  }
  bool zero = std::isxdigit(static_cast<unsigned char>(bytes[size_end])) == 0;
  return zero && bytes.find(kBlankLine, size_end) == std::string_view::npos;
}

template <bool is_request>
MessageReader<is_request>::MessageReader(const MessageLimits& limits)
    : head_limit_(limits.head) {
  // One part at a time, so that the place of each chunk in the bytes is known.
  parser_.eager(false);
  parser_.header_limit(limits.head);
  parser_.body_limit(limits.body);
  on_chunk_header_ = [this](uint64_t size, boost::beast::string_view,
                            boost::system::error_code& error) {
    chunk_left_ = size;
    chunk_started_ = true;
    error = {};
  };
  parser_.on_chunk_header(on_chunk_header_);
}

template <bool is_request>
bool MessageReader<is_request>::HasToWait(
    const boost::beast::flat_buffer& buffer) const {
  bool at_chunk_header = head_done() && parser_.chunked() && chunk_left_ == 0;
  return at_chunk_header && IsPartOfLastChunk(TextOf(buffer), chunk_started_);
}

template <bool is_request>
Result<size_t> MessageReader<is_request>::Read(
    boost::beast::flat_buffer& buffer) {
  if (HasToWait(buffer)) {
    if (buffer.size() > head_limit_) {
      return ToError(http::make_error_code(http::error::header_limit));
    }
    return size_t{0};
  }
  bool had_head = head_done();
  uint64_t chunk_before = chunk_left_;
  auto put = Put(buffer);
  if (!Ok(put)) {
    return put;
  }
  size_t used = std::get<size_t>(put);
  buffer.consume(used);
  if (chunk_before > 0) {
    chunk_left_ -= used;
  }
  if (!had_head && head_done() && !HasKnownCoding()) {
    return Error{ErrorCode::kMalformedRequest, "unknown transfer coding"};
  }
  if (head_done() && !head_without_trailer_ && parser_.chunked()) {
    head_without_trailer_ = head();
  }
  if (used == 0 && buffer.size() > kMaxUnreadBytes) {
    return ToError(http::make_error_code(http::error::buffer_overflow));
  }
  return used;
}

template <bool is_request>
bool MessageReader<is_request>::HasKnownCoding() const {
  auto fields = head().equal_range(http::field::transfer_encoding);
  if (fields.first == fields.second) {
    return true;
  }
  if (!is_request && done()) {
    return true;  // A response without a body, whatever the field says.
  }
  // What an HTTP/1.0 client means by it is not defined.
  bool version_knows = !is_request || head().version() >= kHttp11;
  bool only_field = std::next(fields.first) == fields.second;
  return version_knows && only_field &&
         boost::beast::iequals(fields.first->value(),
                               {kChunked.data(), kChunked.size()});
}

template <bool is_request>
Result<size_t> MessageReader<is_request>::Put(
    const boost::beast::flat_buffer& buffer) {
  if (buffer.size() == 0) {
    return size_t{0};
  }
  try {
    boost::system::error_code error;
    size_t used = parser_.put(buffer.data(), error);
    if (error && error != http::error::need_more) {
      return ToError(error);
    }
    return used;
  } catch (const std::length_error& exception) {
    // A field is longer than Beast can keep, whatever the limit.
    return Error{ErrorCode::kHeaderTooLarge, exception.what()};
  }
}

template <bool is_request>
bool MessageReader<is_request>::EndsWithConnection() {
  boost::system::error_code error;
  parser_.put_eof(error);
  return !error && parser_.is_done();
}

template <bool is_request>
std::optional<uint64_t> MessageReader<is_request>::body_length() const {
  if (done()) {
    return 0;
  }
  auto length = parser_.content_length();
  return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

template <bool is_request>
std::string MessageReader<is_request>::TakeBody() {
  return std::exchange(parser_.get().body(), std::string());
}

template <bool is_request>
typename MessageReader<is_request>::Message
MessageReader<is_request>::Release() {
  auto message = parser_.release();
  Header& head =
      head_without_trailer_ ? *head_without_trailer_ : message.base();
  return Message(std::move(head), std::move(message.body()));
}

template class MessageReader<true>;
template class MessageReader<false>;

}  // namespace mangoyoke
