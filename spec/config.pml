/* The configuration: one value, replaced by compare-and-swap.
 *
 * Properties: an accepted change is never undone; each change is applied at
 * most once; no node goes to a lower revision.
 * Faults: racing operators, answers lost after the write took effect, repeated
 * commands, stale reads, nodes that take the value from each other.
 * Mutations: NO_SWAP, NO_ID, ADOPT_ANY.
 */
#define OPERATORS 2
#define NODES 2

byte revision = 0;
byte applied[OPERATORS];      /* how often each change is in the value */
bool accepted[OPERATORS];
byte history[5];              /* changes in the value at each revision, bits */
byte held[NODES];

proctype Operator(byte me) {
  byte seen;
  byte mine;
  byte tries = 0;
  bool known;
  do
  :: tries < 3 && !accepted[me] ->
       tries++;
       atomic {               /* reads the value */
         seen = revision;
         mine = applied[me]
       };
       known = (mine > 0);
#ifdef NO_ID
       known = false;
#endif
       if
       :: known -> accepted[me] = true
       :: else ->
            atomic {          /* compares and swaps */
              if
#ifndef NO_SWAP
              :: revision == seen ->
                   revision++;
                   applied[me]++;
                   history[revision] = history[revision - 1] | (1 << me);
#else
              :: true ->
                   revision = seen + 1;
                   applied[me]++;
                   history[revision] = history[seen] | (1 << me);
#endif
                   assert(applied[me] <= 1);
                   if
                   :: accepted[me] = true
                   :: skip    /* the answer is lost */
                   fi
              :: else -> skip
              fi
            }
       fi
  :: else -> break
  od
}

proctype Node(byte me) {
  byte offered;
  byte steps = 0;
  do
  :: steps < 4 ->
       steps++;
       if
       :: offered = revision                  /* watch or read */
       :: offered = held[1 - me]              /* from a peer */
       :: revision > 0 -> offered = revision - 1 /* a stale answer */
       fi;
#ifdef ADOPT_ANY
       assert(offered >= held[me]);
       held[me] = offered
#else
       if
       :: offered > held[me] -> held[me] = offered
       :: else -> skip
       fi
#endif
  :: steps == 4 -> break
  od
}

/* What was accepted stays in the present value. */
active proctype Monitor() {
  byte i;
end:
  do
  :: accepted[0] -> assert((history[revision] & 1) != 0); break
  od;
  do
  :: atomic { assert((history[revision] & 1) != 0) }
  :: break
  od
}

init {
  atomic {
    run Operator(0);
    run Operator(1);
    run Node(0);
    run Node(1)
  }
}
