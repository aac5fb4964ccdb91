/* Orders to engines (src/daemon/control/orders/).
 *
 * Two holders in turn; the first may be paused at any point, also between
 * looking at its clock and sending. Its order may be delayed on the way. The
 * engine checks the fencing number, or ignores it.
 *
 * Property: once the engine took an order of the second holder, it never
 * takes a later one of the first. For an engine that ignores the number the
 * second holder waits until every order of the first has been delivered or
 * dropped (lease + longest order), and an order not sent when the lease ended
 * is not sent: the own clock is looked at in the same step as the send.
 *
 * -DIGNORES        the engine ignores the number
 * -DBROKEN_CHECK   the engine should check the number but does not, and the
 *                  new holder does not wait
 * -DBROKEN_CLOCK   with IGNORES: the holder looks at its clock, is paused, and
 *                  sends afterwards
 */

bool lease_ended = false;   /* Of the first holder. */
bool second_ordered = false;
bool violated = false;
byte in_flight = 0;         /* Orders of the first holder on their way. */
byte highest = 0;           /* The engine's fencing number. */

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
         :: true -> violated = violated || second_ordered
#else
         :: highest > 1 -> skip /* Refused. */
         :: else -> highest = 1
#endif
         fi }
    :: atomic { in_flight > 0 -> in_flight-- } /* Lost. */
    :: skip
    fi
  }
}

active proctype second_holder() {
  lease_ended = true;
#ifdef IGNORES
  in_flight == 0; /* Lease and longest order are over. */
#endif
  atomic {
    highest = 2;
    second_ordered = true
  }
}

ltl fenced { [] (!violated) }
