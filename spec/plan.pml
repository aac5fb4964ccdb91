/* A plan never reverts (src/daemon/control/plan/).
 *
 * Two operators submit through two instances by inserting the row of the next
 * revision; instances read the store, which may answer with an old state, and
 * pull from each other.
 *
 * Properties: an instance's revision never goes down, and two instances with
 * the same revision have the same text.
 *
 * -DBROKEN_READ   an instance takes whatever the store answers
 * -DBROKEN_CAS    the row of a revision can be overwritten
 */

#define INSTANCES 2
#define REVISIONS 4

byte row[REVISIONS];       /* Text of each revision; 0 for no row. */
byte revision[INSTANCES];  /* In force. */
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
    :: /* An operator submits against the revision in force here. */
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
    :: /* Reads the store; any row that was ever the last may come. */
       if
       :: row[1] != 0 -> adopt(me, 1, row[1])
       :: row[2] != 0 -> adopt(me, 2, row[2])
       :: row[3] != 0 -> adopt(me, 3, row[3])
       :: row[1] == 0 -> skip
       fi
    :: /* Pulls from the other instance. */
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
