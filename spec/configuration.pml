/*
 * The spread of configuration: one object of the store, two operators, a daemon with a copy.
 *
 * Operators change the object by conditional update on the version that they read; the answer of a write
 * may be lost, and is resolved by reading back.  A daemon hears the store (any read may be as stale as it
 * likes), or the other daemon (a rumour may be old, doubled or lost), and it may restart with nothing, in
 * which case it serves only after it heard the other daemon or the store.
 *
 * Checked: a living daemon never goes back to an older version; of the operators who changed the same
 * version, only one is told "accepted"; nobody who was told "refused" has changed anything.
 *
 * Broken variants: LAST_WRITER_WINS (no condition), TAKE_ANY (a copy takes whatever it hears), WRITE_AGAIN (a
 * lost answer is resolved by writing again).
 */

#define LAST 3

byte store = 1;
byte accepted_over[LAST + 2];
byte writer_of[LAST + 2];

proctype Operator(byte me) {
  byte seen;
  byte rounds = 0;
  bool effect;
  byte effects;
  do
  :: rounds < 2 && store < LAST ->
       rounds++;
       effects = 0;
       seen = store;
write:
       atomic {
         if
#ifdef LAST_WRITER_WINS
         :: store < LAST -> store = store + 1; writer_of[store] = me; effect = true
         :: store >= LAST -> effect = false
#else
         :: store == seen -> store = store + 1; writer_of[store] = me; effect = true
         :: store != seen -> effect = false
#endif
         fi;
         if
         :: effect -> effects++; assert(effects <= 1)    /* one intention, one change */
         :: else -> skip
         fi
       }
       if
       :: effect -> accepted_over[seen]++; assert(accepted_over[seen] <= 1)
       :: !effect -> skip                        /* told that someone else was first */
       :: true ->                                /* the answer was lost */
#ifdef WRITE_AGAIN
            seen = store;
            goto write
#else
            if                                   /* read back whose the next version is */
            :: store > seen && writer_of[seen + 1] == me ->
                 accepted_over[seen]++; assert(accepted_over[seen] <= 1)
            :: store > seen && writer_of[seen + 1] != me -> assert(!effect)
            :: store == seen -> assert(!effect)  /* still unknown: said so */
            fi
#endif
       fi;
  :: break
  od
}

proctype Daemon() {
  byte copy = 0;
  byte heard;
  byte steps = 0;
  do
  :: steps < 4 ->
       atomic {
         steps++;
         /* Whatever way the news came, it is some version that the store had: a fresh read, a stale one,
            a rumour that was late or doubled.  A restart forgets the copy, and it serves nothing then. */
         if
         :: heard = store
         :: store > 1 -> heard = store - 1
         :: heard = 1
         :: copy = 0; heard = 0
         fi;
#ifdef TAKE_ANY
         if
         :: heard > 0 -> assert(heard >= copy); copy = heard
         :: else -> skip
         fi;
#else
         if
         :: heard > copy -> copy = heard
         :: else -> skip
         fi;
#endif
         assert(copy <= store)
       }
  :: break
  od
}

init {
  atomic { run Operator(1); run Operator(2); run Daemon() }
}
