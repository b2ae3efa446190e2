/* A planned stop: sessions move to a recorded successor.
 *
 * Properties: a call runs at most once; after the record the old home executes
 * nothing; the successor executes only with the sessions in hand.
 * Faults: the record's answer is lost, hand-over and confirmation are lost or
 * repeated, the caller resends at either VM, either VM dies.
 * Mutations: HOME_GOES_ON, FRESH_AT_SUCCESSOR, HAND_WHILE_RUNNING,
 * OVERWRITE_SESSIONS.
 */
#define SENDS 3

chan hand_over = [2] of { bool };   /* whether the call's number is used */
chan confirm = [2] of { bool };

bool recorded = false;
byte runs = 0;

bool home_alive = true;
bool home_has = true;       /* the home may execute */
bool home_used = false;
bool home_running = false;
bool home_stopped = false;  /* no new calls after the record */
bool next_has = false;
bool next_used = false;
byte next_calls = 0;

inline run_call() {
  runs++;
  assert(runs <= 1)
}

/* The caller sends call 1 to either VM, several times. */
active proctype Caller() {
  byte sends = 0;
  do
  :: sends < SENDS ->
       sends++;
       if
       :: atomic { home_alive && home_has && !home_used &&
#ifdef HOME_GOES_ON
            true
#else
            !home_stopped
#endif
            -> home_used = true; home_running = true }
       :: atomic { recorded &&
#ifdef FRESH_AT_SUCCESSOR
            !next_used
#else
            next_has && !next_used
#endif
            -> next_used = true; run_call() }
       :: skip
       fi
  :: sends == SENDS -> break
  od
}

/* The home's running call reaches the service at any later time. */
active proctype Running() {
end:
  do
  :: atomic { home_running -> home_running = false; run_call() }
  od
}

active proctype Home() {
  byte hands = 0;
  bool ok;
  /* Records the successor; the answer may be lost. */
  atomic { recorded = true };
  if
  :: home_stopped = true            /* the answer came */
  :: goto keeps                     /* lost: the home keeps its sessions */
  fi;
  do
  :: hands < 2 &&
#ifdef HAND_WHILE_RUNNING
     true
#else
     !home_running
#endif
     ->
       hands++;
#ifdef HAND_WHILE_RUNNING
       hand_over!false
#else
       hand_over!home_used
#endif
  :: confirm?ok -> home_has = false; break
  :: hands == 2 -> home_has = false; break   /* gives up: sessions end */
  :: atomic { home_alive = false; home_has = false }; break
  od;
keeps:
  skip
}

active proctype Successor() {
  bool used;
end:
  do
  :: hand_over?used ->
       atomic {
         if
#ifdef OVERWRITE_SESSIONS
         :: true -> next_has = true; next_used = used
#else
         :: !next_has -> next_has = true; next_used = used
         :: else -> skip            /* a repeated hand-over */
#endif
         fi
       };
       if
       :: nfull(confirm) -> confirm!true
       :: skip                      /* lost */
       fi
  :: nempty(hand_over) -> hand_over?used   /* lost */
  od
}
