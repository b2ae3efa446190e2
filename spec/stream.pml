/* Resuming a stream of tokens.
 *
 * Properties: each token reaches the caller once, in order, from a single
 * generation.
 * Faults: connections go silent, events arrive late and repeated on an old
 * connection, an entry dies and the caller resumes at another, the endpoint
 * is lost.
 * Mutations: NO_SEQUENCE, JOIN_GENERATIONS, SKIP_GAP.
 */
#define TOKENS 3

/* A connection carries generation and sequence number. Two connections may
 * be read at once: the old one is late, not closed. */
chan old_connection = [4] of { byte, byte };
chan new_connection = [4] of { byte, byte };

byte received = 0;            /* next sequence number the caller expects */
byte generation_seen = 0;     /* 0: none yet */
byte entry_next = 0;          /* next number at the entry */
byte entry_generation = 1;
bool lost = false;
bool ended = false;
byte reopened = 0;

inline to_caller(generation, number) {
  assert(!ended);
  assert(number == received);
  assert(generation_seen == 0 || generation == generation_seen);
  generation_seen = generation;
  received++
}

inline take(generation, number) {
  if
  :: ended -> skip
#ifdef NO_SEQUENCE
  :: !ended -> to_caller(generation, number); entry_next = number + 1
#else
  :: !ended && number < entry_next -> skip             /* repeated */
#ifdef SKIP_GAP
  :: !ended && number >= entry_next && generation == entry_generation ->
       to_caller(generation, number); entry_next = number + 1
#else
  :: !ended && number == entry_next && generation == entry_generation ->
       to_caller(generation, number); entry_next = number + 1
#endif
  :: else -> skip                                      /* gap or foreign */
#endif
  fi
}

/* The endpoint sends the generation's tokens on the old connection, some of
 * them lost with it, and from the caller's position on a new one. */
active proctype Endpoint() {
  byte number = 0;
  do
  :: number < TOKENS ->
       if
       :: old_connection!1, number
       :: skip                      /* the connection lost it */
       fi;
       number++
  :: number == TOKENS -> break
  :: lost -> break
  od
}

active proctype Resumer() {
  byte number;
  do
  :: reopened < 2 && !lost && !ended ->
       reopened++;
       number = entry_next;         /* resumes after what was relayed */
       do
       :: number < TOKENS && nfull(new_connection) && !lost ->
            new_connection!1, number;
            number++
       :: break
       od
  :: reopened < 2 && !ended ->      /* the entry dies: the caller resumes */
       atomic { entry_next = received; reopened++ }
  :: !lost ->
       atomic {
         lost = true;               /* the endpoint is gone */
#ifdef JOIN_GENERATIONS
         entry_generation = 2
#else
         if
         :: received == 0 && entry_next == 0 -> entry_generation = 2
         :: else -> ended = true    /* typed outcome: ran in part */
         fi
#endif
       };
       number = entry_next;
       do
       :: entry_generation == 2 && number < TOKENS && nfull(new_connection) ->
            new_connection!2, number;
            number++
       :: break
       od
  :: break
  od
}

active proctype Entry() {
  byte generation, number;
end:
  do
  :: old_connection?generation, number -> atomic { take(generation, number) }
  :: new_connection?generation, number -> atomic { take(generation, number) }
  :: nempty(new_connection) -> new_connection?generation, number /* lost */
  od
}
