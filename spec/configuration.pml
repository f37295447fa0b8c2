/*
 * Propagation of the configuration: one object of the store, two operators, and a daemon with a replica.
 *
 * Operators change the object by a write that is conditional on the version they read.  The reply to a
 * write may be lost, which is resolved by reading back.  A daemon receives versions from the store (a read
 * may be arbitrarily stale) or from another daemon by gossip (a message may be late, duplicated or lost).  It may
 * restart without a replica, and then serves nothing until it has received a version from either.
 *
 * Properties: a running daemon never returns to an older version; of the operators who changed the same
 * version, only one is told "accepted"; an operator who is told "refused" has changed nothing.
 *
 * Faulty variants, which the checker must reject: LAST_WRITER_WINS (writes are unconditional), TAKE_ANY (a
 * replica applies any version it receives), WRITE_AGAIN (a lost reply is resolved by writing again).
 */

#define LAST_VERSION 3

byte store_version = 1;
byte accepted_count[LAST_VERSION + 2];
byte writer_by_version[LAST_VERSION + 2];

proctype Operator(byte operator_id) {
  byte read_version;
  byte change_count = 0;
  bool effect;
  byte effect_count;
  do
  :: change_count < 2 && store_version < LAST_VERSION ->
       change_count++;
       effect_count = 0;
       read_version = store_version;
write:
       atomic {
         if
#ifdef LAST_WRITER_WINS
         :: store_version < LAST_VERSION ->
              store_version = store_version + 1;
              writer_by_version[store_version] = operator_id;
              effect = true
         :: store_version >= LAST_VERSION -> effect = false
#else
         :: store_version == read_version ->
              store_version = store_version + 1;
              writer_by_version[store_version] = operator_id;
              effect = true
         :: store_version != read_version -> effect = false
#endif
         fi;
         if
         :: effect -> effect_count++; assert(effect_count <= 1)   /* one change takes effect at most once */
         :: else -> skip
         fi
       }
       if
       :: effect -> accepted_count[read_version]++; assert(accepted_count[read_version] <= 1)
       :: !effect -> skip                        /* refused: another operator was first */
       :: true ->                                /* the reply was lost */
#ifdef WRITE_AGAIN
            read_version = store_version;
            goto write
#else
            if                                   /* read back who wrote the next version */
            :: store_version > read_version && writer_by_version[read_version + 1] == operator_id ->
                 accepted_count[read_version]++; assert(accepted_count[read_version] <= 1)
            :: store_version > read_version && writer_by_version[read_version + 1] != operator_id ->
                 assert(!effect)
            :: store_version == read_version -> assert(!effect)  /* outcome still unknown, and reported so */
            fi
#endif
       fi;
  :: break
  od
}

proctype Daemon() {
  byte replica = 0;
  byte received_version;
  byte steps = 0;
  do
  :: steps < 4 ->
       atomic {
         steps++;
         /* However it arrives, a received version is one that the store had: by a current read, a stale
            read, or a late or duplicated message.  A restart discards the replica, and the daemon then
            serves nothing. */
         if
         :: received_version = store_version
         :: store_version > 1 -> received_version = store_version - 1
         :: received_version = 1
         :: replica = 0; received_version = 0
         fi;
#ifdef TAKE_ANY
         if
         :: received_version > 0 -> assert(received_version >= replica); replica = received_version
         :: else -> skip
         fi;
#else
         if
         :: received_version > replica -> replica = received_version
         :: else -> skip
         fi;
#endif
         assert(replica <= store_version)
       }
  :: break
  od
}

init {
  atomic { run Operator(1); run Operator(2); run Daemon() }
}
