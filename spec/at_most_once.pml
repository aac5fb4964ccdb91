/* At-most-once execution of non-idempotent calls (src/daemon/control/calls/).
 *
 * Two instances, one idempotency key and caller retries at both instances. The
 * store may lose replies and an instance may fail at any time. A key belongs to
 * one incarnation: the one named in its ticket, or the one whose claim row was
 * written first.
 *
 * Property: the call is executed at most once. By design a "not_run" response
 * is also correct as long as nobody sends the key again; the LTL formula does
 * not cover this.
 *
 * -DBROKEN_FORWARD  an instance executes the call itself if the owner failed
 * -DBROKEN_CLAIM    an instance executes the call if the reply to its claim was
 *                   lost
 */

#define INSTANCES 2
#define NONE 9

byte owner = NONE;         /* The claim row; written at most once. */
bool alive[INSTANCES] = true;
bool executed[INSTANCES];  /* The outcome table of each instance. */
byte executions = 0;

/* Executes the call at `me` unless its outcome table has the key. */
inline execute_locally(me) {
  atomic {
    if
    :: alive[me] && !executed[me] -> executed[me] = true; executions++
    :: else -> skip
    fi
  }
}

inline forward(me, to) {
  if
  :: alive[to] -> execute_locally(to)
  :: !alive[to] ->
#ifdef BROKEN_FORWARD
     execute_locally(me)
#else
     skip /* Responds "unknown". */
#endif
  fi
}

/* One request of a caller to instance `me`. */
inline request(me) {
  byte key_owner = NONE;
  bool reply_lost = false;
  if
  :: !alive[me] -> skip
  :: alive[me] ->
     atomic { /* Inserts the claim row if absent; the reply may be lost. */
       if
       :: owner == NONE -> owner = me
       :: else -> skip
       fi;
       if
       :: key_owner = owner
       :: reply_lost = true
       fi
     };
     if
     :: reply_lost ->
#ifdef BROKEN_CLAIM
        key_owner = me
#else
        if /* Reads the row back, or responds "not_run". */
        :: key_owner = owner
        :: skip
        fi
#endif
     :: else -> skip
     fi;
     if
     :: key_owner == NONE -> skip
     :: key_owner == me -> execute_locally(me)
     :: else -> forward(me, key_owner)
     fi
  fi
}

active proctype caller_a() { byte n; for (n : 1 .. 2) { request(0) } }
active proctype caller_b() { byte n; for (n : 1 .. 2) { request(1) } }

/* At most one instance fails. It stays down: a restart is a new incarnation,
 * which would be another index. */
active proctype crash() {
  if
  :: alive[0] = false
  :: alive[1] = false
  :: skip
  fi
}

ltl at_most_once { [] (executions <= 1) }
