/*
 * The claim protocol, for one key that a caller sends to two daemons.
 *
 * A daemon makes an attempt, has a claim appended to the log of the key's shard, and runs the request only
 * after its append took effect.  The log is one object of the store with a version: an append names the
 * version that was read and fails on another one.  The answer of an append may be lost; the daemon then
 * reads the log again, and may also give up at any point, which it notes before it tells anyone "not run".
 * A daemon may crash at any step and may be slow at any step (steps interleave freely), which covers a pause
 * of any length.  A daemon that finds the key held asks the holder what became of the attempt.
 *
 * Checked: the request runs at most once; a caller that was told "not run" by a daemon, for an attempt,
 * never has that attempt run.
 *
 * Broken variants, one macro each, which the checker must reject:
 *   UNCONDITIONAL    the append does not name the version that was read
 *   RUN_THEN_RECORD  the request runs before the claim is in the log
 *   BLIND_RETRY      a lost answer is taken for "granted"
 *   LATE_RUN         a daemon that noted "not run" goes on when the grant comes after all
 *   GUESS_NOT_RUN    a holder that does not answer is taken for "not run"
 */

#define DAEMONS 2
#define ATTEMPTS 4          /* two for each daemon */
#define NOBODY 255

byte version = 1;           /* version of the log in the store */
byte holder = NOBODY;       /* attempt that the log says holds the key */
byte runs = 0;              /* times that a server has run the request */
bool noted_not_run[ATTEMPTS];   /* what the owner of an attempt knows of it */
bool told_not_run[ATTEMPTS];    /* what a caller was told */
bool ran[ATTEMPTS];
bool crashed[DAEMONS];

/* An append on the condition of a version: ok and lost tell the daemon's view. */
inline append(read, value) {
  atomic {
    if
#ifdef UNCONDITIONAL
    :: true -> version = version + 1; holder = value; effect = true
#else
    :: version == read -> version = version + 1; holder = value; effect = true
    :: version != read -> effect = false
#endif
    fi;
    if                      /* the answer may be lost after the effect, and before it */
    :: answered = true
    :: lost < 2 -> lost++; answered = false
    fi
  }
}

byte lost = 0;

proctype Daemon(byte me) {
  byte attempt = me * 2;
  byte last = me * 2 + 1;
  byte seen_version;
  byte seen_holder;
  byte tries = 0;
  bool effect;
  bool answered;

again:
  /* A crash may come before any step. */
  if
  :: skip
  :: crashed[me] = true; goto done
  fi;
#ifdef RUN_THEN_RECORD
  atomic { runs++; ran[attempt] = true };
#endif
reload:
  atomic { seen_version = version; seen_holder = holder };
  if
  :: seen_holder == attempt -> goto granted
  :: seen_holder != NOBODY && seen_holder != attempt -> goto held
  :: seen_holder == NOBODY -> skip
  fi;
  if
  :: tries < 2 -> tries++
  :: tries >= 2 -> goto give_up
  fi;
  append(seen_version, attempt);
  if
  :: answered && effect -> goto granted
  :: answered && !effect -> goto reload
#ifdef BLIND_RETRY
  :: !answered -> goto granted
#else
  :: !answered -> goto reload
#endif
  :: goto give_up           /* out of time */
  fi;

give_up:
  noted_not_run[attempt] = true;
  told_not_run[attempt] = true;
#ifdef LATE_RUN
  if
  :: holder == attempt -> goto granted
  :: else -> skip
  fi;
#endif
  if
  :: attempt < last -> attempt++; tries = 0; goto again   /* the caller sends it again */
  :: goto done
  fi;

held:
  /* The holder's owner is asked; one that crashed does not answer. */
  if
#ifdef GUESS_NOT_RUN
  :: true ->                /* it may be paused, and go on later */
       append(seen_version, NOBODY);
       goto reload
#else
  :: crashed[seen_holder / 2] -> goto done                /* told that it may have run */
#endif
  :: !crashed[seen_holder / 2] && noted_not_run[seen_holder] ->
       append(seen_version, NOBODY);                      /* release, then claim anew */
       goto reload
  :: !crashed[seen_holder / 2] && !noted_not_run[seen_holder] -> goto done
  fi;

granted:
  if
  :: skip
  :: crashed[me] = true; goto done
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
  [] (!(told_not_run[0] && ran[0]) && !(told_not_run[1] && ran[1]) &&
      !(told_not_run[2] && ran[2]) && !(told_not_run[3] && ran[3]))
}
