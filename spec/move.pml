/* A generation that goes on at another endpoint (generation_moves.cc).
 *
 * Properties: the caller gets each event once and in order, a stream is
 * finished only after its last event, at most one endpoint runs the
 * generation, and after the stream was broken off nothing follows.
 * Faults: the source crashes at any time, a closing connection loses events,
 * the answer to the order to stop is lost or says that the target has no room,
 * the target crashes.
 * Waiting until the source's events are here and leaving aside those of an
 * attempt that was given up each suffice alone; both are in force.
 * Mutations: NO_DRAIN_NO_CHECK, NO_STOP_ANSWER, NO_RESUME_POINT.
 */
#define EVENTS 4
#define END 90           /* the stream ends as its endpoint meant it to */
#define CUT 91           /* the connection closes before that */

mtype = { relaying, stopping, resuming, moved, over };
mtype = { stop, copied, no_room, lost, gone };

chan source_stream = [8] of { byte };
chan target_stream = [8] of { byte };
chan orders = [1] of { mtype };
chan answers = [1] of { mtype, byte };
chan resume = [1] of { byte };

bool source_runs = true;
bool target_runs = false;
byte made = 0;

mtype phase = relaying;
byte last = 0;               /* the last event that the caller has */
bool finished = false;
bool broken = false;

/* A connection that closes may lose what its reader has not read yet. */
inline lose_unread() {
  if
  :: skip
  :: do
     :: nempty(source_stream) -> source_stream?_
     :: else -> break
     od
  fi
}

active proctype Source() {
  do
  :: atomic { source_runs && made < EVENTS -> made++; source_stream!made }
  :: atomic { source_runs && made == EVENTS ->
       source_runs = false; source_stream!END }
  :: atomic { source_runs -> source_runs = false; lose_unread();
       source_stream!CUT }
  :: atomic { orders?stop ->
       if
       :: source_runs ->
            source_runs = false;
            lose_unread();
            source_stream!CUT;
            if
            :: answers!copied, made
            :: answers!no_room, made
            :: answers!lost, 0
            fi
       :: else -> answers!gone, 0
       fi }
  :: phase == over -> break
  od
}

/* The endpoint that goes on: the target, or the source that kept the memory. */
active proctype Target() {
  byte next;
  if
  :: atomic { resume?next ->
       assert(!target_runs && !source_runs);
       target_runs = true }
  :: phase == over -> goto done
  fi;
  do
  :: atomic { next < EVENTS -> next++; target_stream!next }
  :: atomic { next == EVENTS ->
       target_runs = false; target_stream!END; break }
  :: atomic { target_runs = false; target_stream!CUT; break }
  od;
done: skip
}

inline deliver(event) {
  assert(!broken && !finished);
  assert(event == last + 1);
  last = event
}

inline finish() {
  assert(!broken && last == EVENTS);
  finished = true;
  phase = over
}

inline break_off() {
  assert(!finished);
  broken = true;
  phase = over
}

inline go_on() {
  phase = moved;
#ifdef NO_RESUME_POINT
  resume!events_made
#else
  resume!last
#endif
}

active proctype Router() {
  byte event;
  byte events_made = 0;
  bool source_ended = false;
  do
  /* The endpoint leaves. */
  :: atomic { phase == relaying && nempty(source_stream) ->
       skip }
     if
     :: atomic { phase == relaying -> phase = stopping; orders!stop;
#ifdef NO_STOP_ANSWER
          events_made = made; go_on()
#endif
        }
     :: skip
     fi
  /* Events and the end of the first attempt. */
#ifdef NO_DRAIN_NO_CHECK
  :: atomic { phase != over && source_stream?[event] -> source_stream?event;
#else
  :: atomic { (phase == relaying || phase == stopping || phase == resuming) &&
       source_stream?[event] -> source_stream?event;
#endif
       if
       :: event == END -> finish()
       :: event == CUT && phase == relaying -> break_off()
       :: event == CUT && phase != relaying -> source_ended = true
       :: event < END -> deliver(event)
       fi }
  /* The answer to the order to stop. */
  :: atomic { phase == stopping && answers?[copied, events_made] ->
       answers?copied, events_made; phase = resuming }
  :: atomic { phase == stopping && answers?[no_room, events_made] ->
       answers?no_room, events_made; phase = resuming }
  :: atomic { phase == stopping && (answers?[lost, _] || answers?[gone, _]) ->
       answers?_, _;
       if
       :: source_ended -> break_off()
       :: else -> phase = relaying
       fi }
  /* Goes on once the source's events are all here or its stream has ended. */
#ifdef NO_DRAIN_NO_CHECK
  :: atomic { phase == resuming ->
#else
  :: atomic { phase == resuming && (source_ended || last >= events_made) ->
#endif
       go_on() }
  :: atomic { phase == moved && target_stream?[event] -> target_stream?event;
       if
       :: event == END -> finish()
       :: event == CUT -> break_off()
       :: else -> deliver(event)
       fi }
  :: phase == over -> break
  od
}
