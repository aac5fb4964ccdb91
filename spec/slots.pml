/* Slots of one decode server (src/coordination/slot_allocator.cc).
 *
 * One engine slot, two instances, and an allocator that fails and is replaced.
 * The new allocator rebuilds its state from the engine's list of active
 * requests; instances assert grants that have not reached the engine yet.
 *
 * Properties: one allocator never grants the slot twice (granted <= SLOTS), and
 * the grant of a failed instance is released. Replacing the allocator may put
 * requests into the engine's queue (engine_queue <= 1 here), but never makes
 * more requests run than there are slots.
 *
 * -DBROKEN_RECOVERY  the new allocator grants before it has the engine's list
 * -DBROKEN_RELEASE   grants of failed instances are kept
 */

#define SLOTS 1
#define FREE 0
#define REQUESTED 1
#define GRANTED 2
#define RUNNING 3
#define DONE 4

byte state[2];    /* State of the request of each instance. */
bool failed[2];
bool counted[2];  /* The allocator counts the request as using a slot. */
bool has_engine_list = true;  /* The allocator has the engine's request list. */
bool allocator_replaced = false;
byte engine_running = 0;
byte engine_queue = 0;
bool over_granted = false;

#define SLOTS_IN_USE (counted[0] + counted[1])

proctype instance(byte me) {
  state[me] = REQUESTED;
  atomic { /* The allocator grants a slot. */
#ifdef BROKEN_RECOVERY
    (SLOTS_IN_USE < SLOTS) ->
#else
    (has_engine_list && SLOTS_IN_USE < SLOTS) ->
#endif
    over_granted =
      over_granted || (!allocator_replaced && SLOTS_IN_USE >= SLOTS);
    counted[me] = true;
    state[me] = GRANTED
  };
  if
  :: atomic { /* Fails while it holds the grant; peers detect this. */
       failed[me] = true;
#ifndef BROKEN_RELEASE
       counted[me] = false;
#endif
       state[me] = DONE }
  :: atomic { /* The request reaches the engine. */
       state[me] = RUNNING;
       if
       :: engine_running < SLOTS -> engine_running++
       :: else -> engine_queue++
       fi };
     atomic { /* The request ends; a queued one takes its slot. */
       if
       :: engine_queue > 0 -> engine_queue--
       :: else -> engine_running--
       fi;
       state[me] = DONE;
       counted[me] = false }
  fi
}

proctype new_allocator() {
  atomic {
    allocator_replaced = true;
    has_engine_list = false;
    counted[0] = false;
    counted[1] = false };
  atomic { /* Merges the engine's list and the asserted grants. */
    counted[0] = (state[0] == RUNNING || state[0] == GRANTED);
    counted[1] = (state[1] == RUNNING || state[1] == GRANTED);
    has_engine_list = true }
}

init { atomic { run instance(0); run instance(1); run new_allocator() } }

ltl never_over { [] (engine_running + engine_queue <= SLOTS && !over_granted) }
ltl given_back { <> (state[0] == DONE && state[1] == DONE) }
