/* Sessions and claims of non-repeatable calls.
 *
 * Properties: a call runs at most once; a caller that is told "not run" for an
 * attempt was told the truth, then and later.
 * Faults: messages lost, late, repeated and reordered; the home dies and
 * restarts; the caller resends; answers of the service are lost.
 * Mutations: MARK_LATE, FREE_AFTER_SEND, DEAD_HOME_RUNS, CLAIM_BLIND.
 */
#define ATTEMPTS 3

mtype = { not_run, unknown, ran };

chan to_home = [3] of { byte, byte };     /* incarnation, attempt */
chan to_service = [2] of { byte };        /* attempt */
chan from_service = [2] of { byte };      /* attempt */

byte incarnation = 0;
bool used = false;
bool done = false;
byte runs = 0;
bool told_not_run[ATTEMPTS];
bool executed[ATTEMPTS];

inline tell(attempt, what) {
  if
  :: what == not_run ->
       assert(!executed[attempt]);
       told_not_run[attempt] = true
  :: else -> skip
  fi
}

inline execute(attempt) {
#ifndef MARK_LATE
  used = true;
#endif
  if
  :: to_service!attempt                  /* the bytes left */
  :: true ->                             /* no connection was made */
       used = false;
       tell(attempt, not_run)
#ifdef FREE_AFTER_SEND
  :: to_service!attempt;                 /* lost after bytes left */
       used = false
#endif
  fi
}

active proctype Caller() {
  byte attempt = 0;
  do
  :: attempt < ATTEMPTS && nfull(to_home) ->
       to_home!0, attempt;               /* the session's home is 0 */
       attempt++
  :: attempt > 0 && attempt < ATTEMPTS && nfull(to_home) ->
       to_home!0, attempt - 1            /* the network repeats a message */
       ; attempt++
  :: attempt == ATTEMPTS -> break
  od
}

active proctype Home() {
  byte for_incarnation, attempt;
end:
  do
  :: to_home??for_incarnation, attempt ->
       if
       :: told_not_run[attempt] || executed[attempt] -> skip
          /* a late repetition of an attempt that was answered */
       :: else ->
            if
#ifndef DEAD_HOME_RUNS
            :: for_incarnation != incarnation -> tell(attempt, unknown)
#endif
            :: for_incarnation == incarnation && used && done ->
                 tell(attempt, ran)
            :: for_incarnation == incarnation && used && !done ->
                 tell(attempt, unknown)
            :: !used && (for_incarnation == incarnation
#ifdef DEAD_HOME_RUNS
                         || true
#endif
                        ) -> execute(attempt)
            :: else -> skip
            fi
       fi
  :: from_service?attempt -> used = true; done = true
  :: nempty(to_home) -> to_home?for_incarnation, attempt /* lost */
  :: incarnation < 1 ->                   /* dies and restarts */
       atomic { incarnation++; used = false; done = false }
  od
}

active proctype Service() {
  byte attempt;
end:
  do
  :: to_service??attempt ->
       runs++;
       executed[attempt] = true;
       assert(runs <= 1);
       assert(!told_not_run[attempt]);
       if
       :: nfull(from_service) -> from_service!attempt
       :: skip                            /* the answer is lost */
       fi
  od
}

/* Claims: two entries, one store, answers of the store may be lost. */
byte claim_owner = 0;                     /* 0: none, else entry + 1 */
byte claim_runs = 0;

proctype Claimant(byte me) {
  bool recorded = false;
  byte found;
  byte tries = 0;
  do
  :: tries < 2 ->
       tries++;
       atomic {                           /* create if absent */
         found = claim_owner;
#ifdef CLAIM_BLIND
         claim_owner = me + 1;
         found = 0;
#else
         if
         :: claim_owner == 0 -> claim_owner = me + 1
         :: else -> skip
         fi
#endif
       }
       if
       :: (found == 0 || found == me + 1) && !recorded ->
            recorded = true;
            claim_runs++;
            assert(claim_runs <= 1)
       :: skip                            /* the answer is lost */
       :: else -> skip
       fi
  :: tries == 2 -> break
  od
}

init {
  atomic { run Claimant(0); run Claimant(1) }
}
