// Formatting and parsing of tickets.

#include "mangoyoke/ticket.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <charconv>
#include <vector>

namespace mangoyoke {
namespace {

constexpr std::string_view kVersion = "mk1";  // Version of the ticket format.
constexpr size_t kParts = 4;

template <typename Number>
// Parses all of `text` as a decimal number. False if any of it is left.
bool ParseNumber(const std::string& text, Number& number) {
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size();
}

}  // namespace

std::string FormatTicket(const Ticket& ticket) {
  return std::string(kVersion) + "." + ticket.instance + "." +
         std::to_string(ticket.incarnation) + "." +
         std::to_string(ticket.issued_s);
}

std::optional<Ticket> ParseTicketFromKey(std::string_view key) {
  size_t colon = key.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::vector<std::string> parts;
  boost::split(parts, std::string(key.substr(0, colon)), boost::is_any_of("."));
  Ticket ticket;
  if (parts.size() != kParts || parts[0] != kVersion || parts[1].empty() ||
      !ParseNumber(parts[2], ticket.incarnation) ||
      !ParseNumber(parts[3], ticket.issued_s)) {
    return std::nullopt;
  }
  ticket.instance = parts[1];
  return ticket;
}

}  // namespace mangoyoke
