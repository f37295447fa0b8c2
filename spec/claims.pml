/*
 * Claim protocol for one idempotency key that a caller sends to two daemons.
 *
 * For each attempt a daemon appends a claim to the log of the key's shard, and runs the request only after
 * the append took effect.  The log is one object of the store with a version.  An append is conditional on
 * the version that was read and fails if the object has another one.  The reply to an append may be lost;
 * the daemon then reads the log again.  After an append it may also give up, and records that before it
 * reports "not run" to anyone.  Steps of the daemons interleave freely, which covers a pause of any length
 * at any step; a daemon may also crash before an attempt and before it runs the request.  A daemon that
 * finds the key claimed asks the holder for the state of that attempt.
 *
 * Properties: the request runs at most once; an attempt that was reported as "not run" never runs.
 *
 * Faulty variants, one macro each, which the checker must reject:
 *   UNCONDITIONAL    the append is not conditional on the version that was read
 *   RUN_THEN_RECORD  the request runs before the claim is in the log
 *   BLIND_RETRY      a lost reply is treated as "granted"
 *   LATE_RUN         a daemon that recorded "not run" still runs the request if its claim was granted
 *   GUESS_NOT_RUN    a holder that does not reply is treated as "not run"
 */

#define DAEMONS 2
#define ATTEMPTS 4          /* two per daemon */
#define NO_HOLDER 255       /* the key is not claimed */

byte log_version = 1;       /* version of the log in the store */
byte holder = NO_HOLDER;    /* attempt that holds the key according to the log */
byte runs = 0;              /* how often a server has run the request */
bool recorded_not_run[ATTEMPTS];   /* recorded by the daemon that made the attempt */
bool reported_not_run[ATTEMPTS];   /* reported to a caller */
bool ran[ATTEMPTS];
bool crashed[DAEMONS];

/* Conditional append.  `effect` is whether it took effect, `answered` whether the daemon gets the reply. */
inline append(expected_version, new_holder) {
  atomic {
    if
#ifdef UNCONDITIONAL
    :: true ->
         log_version = log_version + 1;
         holder = new_holder;
         effect = true
#else
    :: log_version == expected_version ->
         log_version = log_version + 1;
         holder = new_holder;
         effect = true
    :: log_version != expected_version -> effect = false
#endif
    fi;
    if                      /* the reply may be lost whether or not the append took effect */
    :: answered = true
    :: lost_replies < 2 -> lost_replies++; answered = false
    fi
  }
}

byte lost_replies = 0;

proctype Daemon(byte daemon_id) {
  byte attempt = daemon_id * 2;
  byte last_attempt = daemon_id * 2 + 1;
  byte read_version;
  byte read_holder;
  byte appends = 0;
  bool effect;
  bool answered;

start_attempt:
  /* The daemon may crash here. */
  if
  :: skip
  :: crashed[daemon_id] = true; goto done
  fi;
#ifdef RUN_THEN_RECORD
  atomic { runs++; ran[attempt] = true };
#endif
reload:
  atomic { read_version = log_version; read_holder = holder };
  if
  :: read_holder == attempt -> goto granted
  :: read_holder != NO_HOLDER && read_holder != attempt -> goto query_holder
  :: read_holder == NO_HOLDER -> skip
  fi;
  if
  :: appends < 2 -> appends++
  :: appends >= 2 -> goto give_up
  fi;
  append(read_version, attempt);
  if
  :: answered && effect -> goto granted
  :: answered && !effect -> goto reload
#ifdef BLIND_RETRY
  :: !answered -> goto granted
#else
  :: !answered -> goto reload
#endif
  :: goto give_up           /* deadline passed */
  fi;

give_up:
  recorded_not_run[attempt] = true;
  reported_not_run[attempt] = true;
#ifdef LATE_RUN
  if
  :: holder == attempt -> goto granted
  :: else -> skip
  fi;
#endif
  if
  :: attempt < last_attempt -> attempt++; appends = 0; goto start_attempt   /* the caller retries */
  :: goto done
  fi;

query_holder:
  /* Queries the daemon that made the holding attempt; a crashed one does not reply. */
  if
#ifdef GUESS_NOT_RUN
  :: true ->                /* it may only be paused, and continue later */
       append(read_version, NO_HOLDER);
       goto reload
#else
  :: crashed[read_holder / 2] -> goto done                /* reported as possibly run */
#endif
  :: !crashed[read_holder / 2] && recorded_not_run[read_holder] ->
       append(read_version, NO_HOLDER);                   /* release, then claim again */
       goto reload
  :: !crashed[read_holder / 2] && !recorded_not_run[read_holder] -> goto done
  fi;

granted:
  if
  :: skip
  :: crashed[daemon_id] = true; goto done
  fi;
#ifndef RUN_THEN_RECORD
  atomic { runs++; ran[attempt] = true };
#endif

done:
  skip
}

init {
  atomic { run Daemon(0); run Daemon(1) }
}

ltl at_most_once { [] (runs <= 1) }
ltl not_run_is_true {
  [] (!(reported_not_run[0] && ran[0]) && !(reported_not_run[1] && ran[1]) &&
      !(reported_not_run[2] && ran[2]) && !(reported_not_run[3] && ran[3]))
}
