// Previews as request targets, with percent-encoded parameters.

#include "gateway/core/preview_query.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>

namespace mangoyoke {
namespace {

constexpr int64_t kMaxTokens = 1'000'000'000;

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (char c : text) {
    auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' ||
        c == '/') {
      encoded += c;
    } else {
      encoded += '%';
      encoded += kDigits[byte / kDigits.size()];
      encoded += kDigits[byte % kDigits.size()];
    }
  }
  return encoded;
}

// Nothing if an escape is malformed.
std::optional<std::string> PercentDecode(std::string_view text) {
  constexpr int kHex = 16;
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    std::string_view digits = text.substr(i + 1, 2);
    int value = 0;
    auto [end, error] = std::from_chars(
        digits.data(), digits.data() + digits.size(), value, kHex);
    if (digits.size() != 2 || error != std::errc() ||
        end != digits.data() + digits.size()) {
      return std::nullopt;
    }
    decoded += static_cast<char>(value);
    i += 2;
  }
  return decoded;
}

// The closest code; the detail tells what is wrong.
Error BadQuery(const std::string& why) {
  return Error{ErrorCode::kUnknownPath, std::string(kPreviewPath) + ": " + why};
}

std::optional<int64_t> ParseTokens(const std::string& text) {
  int64_t tokens = 0;
  const char* end = text.data() + text.size();
  auto [parsed_end, error] = std::from_chars(text.data(), end, tokens);
  if (error != std::errc() || parsed_end != end || tokens < 0 ||
      tokens > kMaxTokens) {
    return std::nullopt;
  }
  return tokens;
}

// Sets the parameter `name` of `query`. Returns false if there is none of this
// name, or if it cannot have this value.
bool SetParameter(PreviewQuery& query,
                  std::string_view name,
                  const std::string& value) {
  if (name == "prompt_tokens" || name == "output_tokens") {
    auto tokens = ParseTokens(value);
    (name == "prompt_tokens" ? query.prompt_tokens : query.output_tokens) =
        tokens.value_or(0);
    return tokens.has_value();
  }
  if (name == "host") {
    query.host = value;
  } else if (name == "path") {
    query.path = value;
  } else if (name == "method") {
    query.method = value;
  } else if (name == "account") {
    query.account = value;
  } else {
    return false;
  }
  return true;
}

}  // namespace

Result<PreviewQuery> ParsePreviewQuery(std::string_view target) {
  size_t mark = target.find('?');
  if (target.substr(0, mark) != kPreviewPath) {
    return BadQuery("another path");
  }
  PreviewQuery query;
  std::string_view rest =
      mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    std::string_view parameter = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), parameter.size() + 1));
    size_t equals = parameter.find('=');
    if (equals == std::string_view::npos) {
      return BadQuery("expected name=value, got " + std::string(parameter));
    }
    auto value = PercentDecode(parameter.substr(equals + 1));
    std::string_view name = parameter.substr(0, equals);
    if (!value || !SetParameter(query, name, *value)) {
      return BadQuery("cannot read " + std::string(name));
    }
  }
  if (query.host.empty() || query.path.empty() || query.path[0] != '/') {
    return BadQuery("expected host and path");
  }
  bool method = std::ranges::all_of(
      query.method, [](char c) { return c >= 'A' && c <= 'Z'; });
  if (query.method.empty() || !method) {
    return BadQuery("expected a method in capital letters");
  }
  return query;
}

std::string PreviewTarget(const PreviewQuery& query) {
  std::string target(kPreviewPath);
  target += "?host=" + PercentEncode(query.host);
  target += "&path=" + PercentEncode(query.path);
  target += "&method=" + PercentEncode(query.method);
  if (!query.account.empty()) {
    target += "&account=" + PercentEncode(query.account);
  }
  target += "&prompt_tokens=" + std::to_string(query.prompt_tokens);
  target += "&output_tokens=" + std::to_string(query.output_tokens);
  return target;
}

}  // namespace mangoyoke
