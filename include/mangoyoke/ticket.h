// Tickets: names of the one incarnation that may run a non-idempotent call.
//
// A caller asks for entries and gets a ticket with each. It starts its
// Idempotency-Key with the ticket: "<ticket>:<its own key>". Only the named
// incarnation ever runs the key. Every other instance forwards to it.

#ifndef MANGOYOKE_TICKET_H_
#define MANGOYOKE_TICKET_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mangoyoke/plan.h"

namespace mangoyoke {

struct Ticket {
  InstanceId instance;
  uint64_t incarnation = 0;
  int64_t issued_s = 0;  // Wall clock of the issuer.

  bool operator==(const Ticket&) const = default;
};

// "mk1.<instance>.<incarnation>.<issued>".
std::string FormatTicket(const Ticket& ticket);

// The ticket at the start of an Idempotency-Key; nothing if the key has none.
std::optional<Ticket> ParseTicketFromKey(std::string_view key);

}  // namespace mangoyoke

#endif  // MANGOYOKE_TICKET_H_
