// Texts that come from a peer and are sent on in header fields or paths. Others
// than these could change how the message is read.

#ifndef MANGOYOKE_GATEWAY_CORE_HEADER_TEXT_H_
#define MANGOYOKE_GATEWAY_CORE_HEADER_TEXT_H_

#include <algorithm>
#include <string_view>

namespace mangoyoke {

// Whether `text` is a name that is fit for a header field and for one segment
// of a path: 1 to 256 visible ASCII characters, none of which has a meaning in
// a path.
inline bool IsPathName(std::string_view text) {
  constexpr size_t kMaxBytes = 256;
  constexpr std::string_view kWithMeaning = "/?#%";
  return !text.empty() && text.size() <= kMaxBytes &&
         std::all_of(text.begin(), text.end(), [kWithMeaning](char c) {
           return c > ' ' && c < '\x7f' &&
                  kWithMeaning.find(c) == std::string_view::npos;
         });
}

// Whether `text` can be sent as the whole value of a header field and comes out
// unchanged: 1 to 1024 bytes, no control characters, no blanks at the ends.
inline bool IsFieldValue(std::string_view text) {
  constexpr size_t kMaxBytes = 1024;
  return !text.empty() && text.size() <= kMaxBytes && text.front() != ' ' &&
         text.back() != ' ' &&
         std::none_of(text.begin(), text.end(), [](char c) {
           return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
         });
}

// Whether `text` can be an API key: 1 to 1024 visible ASCII characters.
inline bool IsApiKey(std::string_view text) {
  constexpr size_t kMaxBytes = 1024;
  return !text.empty() && text.size() <= kMaxBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_HEADER_TEXT_H_
