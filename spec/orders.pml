/* Orders to engines under a lease (src/daemon/control/orders/).
 *
 * Two lease holders, one after the other. The first may be paused at any point,
 * also between checking its clock and sending, and its orders may be delayed in
 * the network. The engine checks the fencing token of an order, or ignores it.
 *
 * Property: once the engine has accepted an order of the second holder, it
 * never accepts a later order of the first.
 *
 * For an engine that ignores the token, the second holder waits until every
 * order of the first has been delivered or dropped (lease + maximum order
 * duration). The first holder checks its clock in the same atomic step as the
 * send, so an order not sent when the lease ends is never sent.
 *
 * -DIGNORES        the engine ignores the fencing token
 * -DBROKEN_CHECK   the engine should check the token but does not, and the
 *                  second holder does not wait
 * -DBROKEN_CLOCK   with IGNORES: the holder checks its clock, is paused, and
 *                  sends afterwards
 */

bool lease_ended = false;    /* The lease of the first holder. */
bool second_order_accepted = false;
bool stale_order_accepted = false;
byte in_flight = 0;          /* Orders of the first holder not yet delivered. */
byte highest_token = 0;      /* Highest fencing token seen by the engine. */

active proctype first_holder() {
  byte n;
  bool may_send;
  for (n : 1 .. 2) {
#ifdef BROKEN_CLOCK
    may_send = !lease_ended;
    if
    :: may_send -> in_flight++
    :: else -> skip
    fi
#else
    atomic {
      may_send = !lease_ended;
      if
      :: may_send -> in_flight++
      :: else -> skip
      fi
    }
#endif
  }
}

active proctype network() {
  byte n;
  for (n : 1 .. 2) {
    if
    :: atomic { in_flight > 0 ->
         in_flight--;
         if
#if defined(IGNORES) || defined(BROKEN_CHECK)
         :: true ->
            stale_order_accepted = stale_order_accepted || second_order_accepted
#else
         :: highest_token > 1 -> skip /* Rejected as stale. */
         :: else -> highest_token = 1
#endif
         fi }
    :: atomic { in_flight > 0 -> in_flight-- } /* Dropped. */
    :: skip
    fi
  }
}

active proctype second_holder() {
  lease_ended = true;
#ifdef IGNORES
  in_flight == 0; /* Lease and maximum order duration have passed. */
#endif
  atomic {
    highest_token = 2;
    second_order_accepted = true
  }
}

ltl fenced { [] (!stale_order_accepted) }
