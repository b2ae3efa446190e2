/* Orders of stewards under a lease with a fencing number.
 *
 * Properties: an endpoint that checks the number never takes an order of an
 * older holder after one of a newer; an endpoint that does not check is
 * protected by time: the old holder stops a margin before its lease can have
 * lapsed, and the new one waits a margin past it.
 * Faults: a holder pauses and wakes, messages take up to DELAY, the lease
 * lapses while its holder is paused.
 * Mutations: NO_FENCE_CHECK, NO_OLD_STOP, NO_NEW_WAIT.
 */
#define TTL 4
#define MARGIN 1
#define DELAY 2          /* longest time of an order on its way */
#define END 12

byte now = 0;
/* The old holder has acquired the lease at time 0. */
byte lease_holder = 1;   /* 0: none, 1: old, 2: new */
byte lease_until = TTL;
bool old_done = false;

/* One order of each holder may be on its way to an endpoint that does not
 * check; orders to one that checks may take any time and overtake. */
byte sent_at[3];
bool flying[3];
byte waiting[3];

byte checker = 0;        /* highest fencing number seen by a checking one */
byte taken_checking = 0; /* last number taken by the checking endpoint */
byte taken_ignoring = 0; /* last number taken by the ignoring endpoint */

active proctype Clock() {
  do
  :: now < END &&
     (!flying[1] || now < sent_at[1] + DELAY) &&
     (!flying[2] || now < sent_at[2] + DELAY) ->
       atomic {
         now++;
         if
         :: lease_holder != 0 && now >= lease_until -> lease_holder = 0
         :: else -> skip
         fi
       }
  :: now == END -> break
  od
}

/* The old holder may pause at any time: nothing makes it act before the clock
 * goes on. */
active proctype Old() {
  byte held_until = TTL - MARGIN;
  byte orders = 0;
  do
  :: orders < 2 ->
       atomic {
         !flying[1] &&
#ifdef NO_OLD_STOP
         now < END
#else
         (now < held_until || now == END)
#endif
         ->
         if
         :: now < END -> flying[1] = true; sent_at[1] = now; waiting[1]++; orders++
         :: else -> break
         fi
       }
  :: break
  od;
  old_done = true
}

active proctype New() {
  byte order_from;
  byte orders = 0;
  atomic {
    (lease_holder == 0 && now >= TTL) || now == END;
    if
    :: now < END ->
         lease_holder = 2;
         lease_until = END + 1;
#ifdef NO_NEW_WAIT
         order_from = now
#else
         order_from = now + MARGIN
#endif
    :: else -> goto stop
    fi
  };
  do
  :: orders < 2 ->
       atomic {
         !flying[2] && (now >= order_from || now == END) ->
         if
         :: now < END -> flying[2] = true; sent_at[2] = now; waiting[2]++; orders++
         :: else -> break
         fi
       }
  :: break
  od;
stop:
  skip
}

inline check_order(holder) {
  waiting[holder]--;
#ifdef NO_FENCE_CHECK
  assert(holder >= taken_checking);
  taken_checking = holder
#else
  if
  :: holder >= checker ->
       checker = holder;
       assert(holder >= taken_checking);
       taken_checking = holder
  :: else -> skip        /* refused: an old number */
  fi
#endif
}

inline take_order(holder) {
  flying[holder] = false;
  assert(holder >= taken_ignoring);
  taken_ignoring = holder
}

active proctype Endpoints() {
end:
  do
  :: atomic { flying[1] && now <= sent_at[1] + DELAY -> take_order(1) }
  :: atomic { flying[2] && now <= sent_at[2] + DELAY -> take_order(2) }
  :: atomic { waiting[1] > 0 -> check_order(1) }
  :: atomic { waiting[2] > 0 -> check_order(2) }
  od
}
