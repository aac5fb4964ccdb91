/* At most once for non-idempotent calls (src/daemon/control/calls/).
 *
 * Two entries, one key, retries at both entries, a store whose replies can be
 * lost, owners that die at any moment. A key belongs to one incarnation: the
 * one that its ticket names, or the one whose claim row was written first.
 *
 * Property: the call runs at most once; a caller that was told "not run" is
 * told the truth as long as nobody sends the key again.
 *
 * -DBROKEN_FORWARD  an entry runs the call itself if the owner is gone
 * -DBROKEN_CLAIM    an entry runs the call if the claim's reply was lost
 */

#define ENTRIES 2
#define NONE 9

byte owner = NONE;        /* The claim row: written once. */
bool alive[ENTRIES] = true;
bool ran[ENTRIES];        /* The owner's outcome table. */
byte executions = 0;

/* Runs the call at `me` unless its table has the key. */
inline run_here(me) {
  atomic {
    if
    :: alive[me] && !ran[me] -> ran[me] = true; executions++
    :: else -> skip
    fi
  }
}

inline forward(me, to) {
  if
  :: alive[to] -> run_here(to)
  :: !alive[to] ->
#ifdef BROKEN_FORWARD
     run_here(me)
#else
     skip /* Answers "unknown". */
#endif
  fi
}

/* One request of the caller at entry `me`. */
inline request(me) {
  byte seen = NONE;
  bool lost = false;
  if
  :: !alive[me] -> skip
  :: alive[me] ->
     atomic { /* Insert if absent; the reply may be lost. */
       if
       :: owner == NONE -> owner = me
       :: else -> skip
       fi;
       if
       :: seen = owner
       :: lost = true
       fi
     };
     if
     :: lost ->
#ifdef BROKEN_CLAIM
        seen = me
#else
        if /* Reads the row back, or refuses with "not run". */
        :: seen = owner
        :: skip
        fi
#endif
     :: else -> skip
     fi;
     if
     :: seen == NONE -> skip
     :: seen == me -> run_here(me)
     :: else -> forward(me, seen)
     fi
  fi
}

active proctype caller_a() { byte n; for (n : 1 .. 2) { request(0) } }
active proctype caller_b() { byte n; for (n : 1 .. 2) { request(1) } }

/* An entry dies; a new incarnation would be another index. */
active proctype crash() {
  if
  :: alive[0] = false
  :: alive[1] = false
  :: skip
  fi
}

ltl at_most_once { [] (executions <= 1) }
