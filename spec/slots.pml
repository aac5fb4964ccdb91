/* Slots of one decode server (src/coordination/slot_allocator.cc).
 *
 * One engine slot, two entries, an allocator that dies and is replaced. The
 * new allocator starts from the engine's list of running requests; entries
 * assert grants that have not reached the engine yet.
 *
 * Properties: within one allocator's time the slot is never granted twice
 * (granted <= SLOTS), and a dead entry's grant is given back. A change of the
 * allocator may cost a queue at the engine (engine_queue <= 1 here), never
 * more running requests than slots.
 *
 * -DBROKEN_RECOVERY  the new allocator grants before it has the list
 * -DBROKEN_RELEASE   grants of dead entries are kept
 */

#define SLOTS 1
#define FREE 0
#define ASKED 1
#define GRANTED 2
#define RUNNING 3
#define DONE 4

byte state[2];           /* Of each entry's request. */
bool dead[2];
bool known[2];           /* The allocator counts this request. */
bool listed = true;      /* The allocator has the engine's list. */
bool changed = false;
byte engine_running = 0;
byte engine_queue = 0;
bool over_granted = false;

#define USED (known[0] + known[1])

proctype entry(byte me) {
  state[me] = ASKED;
  atomic { /* The allocator grants. */
#ifdef BROKEN_RECOVERY
    (USED < SLOTS) ->
#else
    (listed && USED < SLOTS) ->
#endif
    over_granted = over_granted || (!changed && USED >= SLOTS);
    known[me] = true;
    state[me] = GRANTED
  };
  if
  :: atomic { /* Dies with the grant; others find out. */
       dead[me] = true;
#ifndef BROKEN_RELEASE
       known[me] = false;
#endif
       state[me] = DONE }
  :: atomic { /* Reaches the engine. */
       state[me] = RUNNING;
       if
       :: engine_running < SLOTS -> engine_running++
       :: else -> engine_queue++
       fi };
     atomic { /* Ends; a queued one takes the slot. */
       if
       :: engine_queue > 0 -> engine_queue--
       :: else -> engine_running--
       fi;
       state[me] = DONE;
       known[me] = false }
  fi
}

proctype new_allocator() {
  atomic { changed = true; listed = false; known[0] = false; known[1] = false };
  atomic { /* The engine's list, and what entries assert. */
    known[0] = (state[0] == RUNNING || state[0] == GRANTED);
    known[1] = (state[1] == RUNNING || state[1] == GRANTED);
    listed = true }
}

init { atomic { run entry(0); run entry(1); run new_allocator() } }

ltl never_over { [] (engine_running + engine_queue <= SLOTS && !over_granted) }
ltl given_back { <> (state[0] == DONE && state[1] == DONE) }
