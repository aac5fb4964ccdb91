/* The active plan of an instance never goes back (src/daemon/control/plan/).
 *
 * Two operators submit plans through two instances. A submission inserts the
 * row of the next revision. Instances read the store, which may return stale
 * rows, and pull plans from each other.
 *
 * Properties: the active revision of an instance never decreases, and two
 * instances with the same revision have the same text.
 *
 * -DBROKEN_READ   an instance adopts any revision that the store returns
 * -DBROKEN_CAS    the row of a revision can be overwritten
 */

#define INSTANCES 2
#define REVISIONS 4

byte row[REVISIONS];       /* Text of each revision; 0 means no row. */
byte revision[INSTANCES];  /* Active revision of each instance. */
byte text[INSTANCES];
bool reverted = false;

inline adopt(me, new_revision, new_text) {
  atomic {
    if
    :: new_revision > revision[me] ->
       revision[me] = new_revision;
       text[me] = new_text
#ifdef BROKEN_READ
    :: new_revision < revision[me] ->
       revision[me] = new_revision;
       text[me] = new_text;
       reverted = true
#endif
    :: else -> skip
    fi
  }
}

proctype instance(byte me) {
  byte steps;
  byte at;
  for (steps : 1 .. 3) {
    if
    :: /* An operator submits on top of the active revision of `me`. */
       at = revision[me] + 1;
       if
       :: at < REVISIONS ->
          atomic {
            if
            :: row[at] == 0 -> row[at] = me + 1
#ifdef BROKEN_CAS
            :: row[at] != 0 -> row[at] = me + 1
#endif
            :: else -> skip /* Conflict. */
            fi
          };
          adopt(me, at, row[at])
       :: else -> skip
       fi
    :: /* Reads the store, which may return any row that was the newest at
          some time (stale read). */
       if
       :: row[1] != 0 -> adopt(me, 1, row[1])
       :: row[2] != 0 -> adopt(me, 2, row[2])
       :: row[3] != 0 -> adopt(me, 3, row[3])
       :: row[1] == 0 -> skip
       fi
    :: /* Pulls the active plan of the other instance. */
       atomic {
         at = revision[1 - me];
         adopt(me, at, text[1 - me])
       }
    fi
  }
}

init { atomic { run instance(0); run instance(1) } }

ltl never_reverts { [] (!reverted) }
ltl one_text { [] (revision[0] != revision[1] || text[0] == text[1]) }
