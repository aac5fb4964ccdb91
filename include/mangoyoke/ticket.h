// Tickets. A ticket names the owner of a non-idempotent request: the one
// incarnation of an instance that may execute it.
//
// A caller asks for the list of instances and gets a ticket with each. It
// starts its Idempotency-Key with a ticket: "<ticket>:<its own key>". Only the
// incarnation that the ticket names executes requests with this key. All other
// instances forward them to it.

#ifndef MANGOYOKE_TICKET_H_
#define MANGOYOKE_TICKET_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mangoyoke/plan.h"

namespace mangoyoke {

// The content of a ticket.
struct Ticket {
  InstanceId instance;
  uint64_t incarnation = 0;
  int64_t issued_s = 0;  // Issuer's wall clock, Unix time.

  bool operator==(const Ticket&) const = default;
};

// Returns the ticket as "mk1.<instance>.<incarnation>.<issued_s>".
std::string FormatTicket(const Ticket& ticket);

// Returns the ticket at the start of an Idempotency-Key, or nothing if the key
// has no valid ticket.
std::optional<Ticket> ParseTicketFromKey(std::string_view key);

}  // namespace mangoyoke

#endif  // MANGOYOKE_TICKET_H_
