/*
 * Claims of one idempotency key in a store that is restored once from a copy.
 *
 * Each daemon makes one attempt and coordinates its own claim.  The restore brings back an earlier state of
 * the log of era 0 and gives its versions out again; era 1 has a segment of its own.  A claim is written on
 * the condition of the version that was read; the write may be executed after the restore, and the daemon
 * sees the era in its answer.  A daemon hears of the era from the store or from others at any moment.  Then
 * it writes the claim of its attempt again if it has run, and publishes the era.  Daemon 0 claims another key
 * of the same shard: its writes only take versions.  No daemon loses its memory.
 *
 * Property: the request runs at most once.
 *
 * Faulty variants, one macro each, which the checker must reject:
 *   NO_RENEWAL   a claim that has run is not written again
 *   NO_BARRIER   claims are granted before all daemons have published the era
 *   EARLY_READ   the log is read before it is seen that all daemons have published the era
 *   LATE_GRANT   a claim that was granted in era 0 starts a run though era 1 is known
 *   ONE_LOG      both eras share a segment
 */

#define DAEMONS 3
#define ALL_PUBLISHED (published[0] && published[1] && published[2])
#define BIT(attempt) (1 << (attempt))
#define KEY_BITS 6          /* the attempts of daemons 1 and 2 */

#ifdef ONE_LOG
#define SEGMENT(in_era) 0
#else
#define SEGMENT(in_era) (in_era)
#endif

byte era = 0;
byte claims[2];             /* by segment: bits of the attempts whose claims are in it */
byte version[2];
byte copied_claims;
byte copied_version;
byte known_era[DAEMONS];
bool may_have_run[DAEMONS];
bool published[DAEMONS];
byte runs = 0;

proctype Daemon(byte me) {
  byte read_era;
  byte read_version;
  byte read_claims;         /* in the segment of the era that was read */
  byte held_claims;         /* in all segments */
  byte answer_era;
  bool effect;
  bool is_confirmed;

reload:
  is_confirmed = ALL_PUBLISHED;
  atomic {
    read_era = era;
    known_era[me] = era;
    read_version = version[SEGMENT(read_era)];
    read_claims = claims[SEGMENT(read_era)];
    held_claims = claims[0] | claims[1]
  };
  if
  :: me != 0 && (held_claims & KEY_BITS & ~BIT(me)) != 0 -> goto done
  :: else -> skip
  fi;
#ifdef EARLY_READ
  is_confirmed = ALL_PUBLISHED;
#endif
#ifndef NO_BARRIER
  if
  :: read_era == 1 && !is_confirmed -> goto done      /* answered with "not run" */
  :: else -> skip
  fi;
#endif
  /* The write may be executed at any later moment, also in the next era. */
  atomic {
    effect = version[SEGMENT(read_era)] == read_version;
    if
    :: effect ->
         version[SEGMENT(read_era)] = read_version + 1;
         claims[SEGMENT(read_era)] = read_claims | BIT(me)
    :: else -> skip
    fi;
    answer_era = era
  };
  if
  :: answer_era != read_era || !effect -> goto reload
  :: else -> skip
  fi;
  /* The grant may arrive at any later moment. */
  atomic {
    if
#ifdef LATE_GRANT
    :: true ->
#else
    :: known_era[me] == read_era ->
#endif
         may_have_run[me] = true;
         if
         :: me != 0 -> runs++
         :: else -> skip
         fi
#ifndef LATE_GRANT
    :: else -> skip
#endif
    fi
  };

done:
  skip
}

/* Hears of the new era, writes the daemon's claim again and publishes the era. */
proctype Renewal(byte me) {
  bool has_claim;
  era == 1;
  atomic { known_era[me] = 1; has_claim = may_have_run[me] };
#ifndef NO_RENEWAL
  atomic {
    if
    :: has_claim && ((claims[0] | claims[1]) & BIT(me)) == 0 ->
         claims[SEGMENT(1)] = claims[SEGMENT(1)] | BIT(me);
         version[SEGMENT(1)] = version[SEGMENT(1)] + 1
    :: else -> skip
    fi
  };
#endif
  published[me] = true
}

proctype Restore() {
  atomic { copied_claims = claims[0]; copied_version = version[0] };
  atomic { claims[0] = copied_claims; version[0] = copied_version; era = 1 }
}

init {
  atomic {
    run Daemon(0); run Daemon(1); run Daemon(2);
    run Renewal(0); run Renewal(1); run Renewal(2);
    run Restore()
  }
}

ltl at_most_once { [] (runs <= 1) }
