/*
 * Dispatchers of a pool: one task, and two workers. Worker 0 is polled and sent orders by
 * dispatcher 0 and later by dispatcher 1, worker 1 by the owner itself. The owner holds the owner
 * lease all the time, so that all orders carry the same fence; spec/tenure.pml checks its change.
 *
 * A dispatcher may call its worker while its grant lasts. The owner gives the worker to the other
 * dispatcher when the first one has confirmed that it has stopped, or when the grant has certainly
 * expired. An order may arrive late, as long as the lease that it carries has not expired. A worker
 * refuses a start after it has accepted a stop of the same run. Runs end when each extension of the
 * worker's lease has expired. A dispatcher that has reported this sends no start any more that it
 * was given before. Messages of a dispatcher to the owner may be delayed.
 *
 * Checked: the task never runs on both workers at once.
 *
 * MUTANT 1: the owner gives the worker away while the grant may last.
 * MUTANT 2: a dispatcher that was suspended sends an order in hand after its grant has expired.
 * MUTANT 3: a new dispatcher ignores the leases that the former one gave.
 * MUTANT 4: the owner takes a list of runs that is older than the accepted stop as proof that the
 *           run was never started.
 * MUTANT 5: the owner applies messages of a dispatcher that it has given up.
 * MUTANT 6: a dispatcher that has reported the expiry of all leases sends a start that it was given
 *           before.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#define NONE 2

/* messages of a dispatcher */
#define EMPTY 1    /* the worker listed no run */
#define EXPIRED 2  /* all leases have expired */

/* what the owner believes of the task */
#define IDLE 0
#define STARTED 1   /* ordered on worker 0 */
#define WITHDRAWN 2 /* the stop of that start was ordered */
#define REFUSED 3   /* the stop was accepted */
#define MOVED 4     /* started on worker 1 */

byte assigned = 0;      /* dispatcher of worker 0; NONE while it has none */
bool granted[2];        /* the dispatcher's own view of its grant */
bool believed[2];       /* the grant may last, as the owner knows */
bool busy[2];           /* the dispatcher is checking and sending an order */
bool startInHand[2], stopInHand[2];
bool startSent[2];      /* on the way to worker 0 */
bool carried[2];        /* the lease that the start carries has not expired */
bool live[2];           /* the dispatcher's extension of worker 0's lease has not expired */
bool blocked[2];        /* the dispatcher has reported the expiry of all leases */
byte message[2];
bool stopAccepted[2];   /* message that the worker accepted the stop; it may take time to end the run */
byte listed[2];         /* the task's state when the list in an EMPTY message was requested */

byte belief = IDLE;
bool running[2];
bool stopped;           /* worker 0 refuses the start */
bool reassigned;

inline begin(w) {
  running[w] = true;
  assert(!(running[0] && running[1]));
}

proctype owner() {
  byte d;
  do
  :: atomic { belief == IDLE && assigned != NONE -> belief = STARTED; startInHand[assigned] = true }
  /* the start has no outcome in time */
  :: atomic { belief == STARTED && assigned != NONE -> belief = WITHDRAWN; stopInHand[assigned] = true }
  /* a stop without an outcome is sent again */
  :: atomic { belief == WITHDRAWN && assigned != NONE -> stopInHand[assigned] = true }
  /* the grant is renewed by a response to a request */
  :: atomic { assigned != NONE -> believed[assigned] = true; granted[assigned] = true }
  /* the owner's wait for the grant ends after the grant */
  :: atomic { assigned != NONE && believed[assigned] && !granted[assigned] && (!busy[assigned] || MUTANT == 2) -> believed[assigned] = false }
  /* the dispatcher is given up, and the worker is given to the other one */
  :: atomic { assigned == 0 && (!believed[0] || MUTANT == 1) -> assigned = NONE }
  :: atomic { assigned == NONE && !reassigned -> assigned = 1; reassigned = true; believed[1] = true; granted[1] = true }
  :: atomic { stopAccepted[0] ->
       stopAccepted[0] = false;
       if :: (assigned == 0 || MUTANT == 5) && belief == WITHDRAWN -> belief = REFUSED :: else fi }
  :: atomic { stopAccepted[1] ->
       stopAccepted[1] = false;
       if :: (assigned == 1 || MUTANT == 5) && belief == WITHDRAWN -> belief = REFUSED :: else fi }
  /* a message arrives; those of a dispatcher that was given up are ignored */
  :: atomic { message[0] != 0 || message[1] != 0 ->
       if
       :: message[0] != 0 -> d = 0
       :: message[1] != 0 -> d = 1
       fi;
       if
       :: assigned == d || MUTANT == 5 ->
            if
            :: message[d] == EMPTY && belief == REFUSED && (listed[d] == REFUSED || MUTANT == 4) -> belief = MOVED; begin(1)
            :: message[d] == EXPIRED && belief != IDLE && belief != MOVED -> belief = MOVED; begin(1)
            :: else
            fi
       :: else
       fi;
       message[d] = 0 }
  od
}

proctype dispatcher(byte d) {
  do
  /* the grant expires, also while the dispatcher is suspended */
  :: atomic { granted[d] && !busy[d] -> granted[d] = false }
  :: atomic { granted[d] && busy[d] && MUTANT == 2 -> granted[d] = false }
  /* an order is checked against the grant, and then sent with a lease from the time of the check */
  :: atomic { startInHand[d] && granted[d] && !busy[d] -> busy[d] = true }
  :: atomic { busy[d] ->
       busy[d] = false; startInHand[d] = false;
       if
       :: !blocked[d] || MUTANT == 6 -> startSent[d] = true; carried[d] = true; live[d] = true
       :: else
       fi }
  :: atomic { stopInHand[d] && granted[d] && !stopAccepted[d] ->
       stopInHand[d] = false; stopped = true; stopAccepted[d] = true }
  /* a poll extends the lease and lists the runs */
  :: atomic { granted[d] && message[d] == 0 ->
       live[d] = true;
       if
       :: !running[0] -> message[d] = EMPTY; listed[d] = belief
       :: else
       fi }
  /* the worker does not respond, and all leases that were given have expired */
  :: atomic { granted[d] && !live[d] && (!live[1 - d] || MUTANT == 3) && message[d] == 0 ->
       message[d] = EXPIRED; blocked[d] = true }
  od
}

proctype worker0() {
  do
  /* a start arrives while the lease that it carries lasts; late ones are refused */
  :: atomic { startSent[0] -> startSent[0] = false;
       if :: carried[0] && !stopped -> begin(0) :: else fi }
  :: atomic { startSent[1] -> startSent[1] = false;
       if :: carried[1] && !stopped -> begin(0) :: else fi }
  /* a stopped run ends */
  :: atomic { stopped && running[0] -> running[0] = false }
  /* an extension expires; without another one, the run is killed */
  :: atomic { live[0] -> live[0] = false; carried[0] = false; if :: !live[1] -> running[0] = false :: else fi }
  :: atomic { live[1] -> live[1] = false; carried[1] = false; if :: !live[0] -> running[0] = false :: else fi }
  od
}

init {
  atomic {
    granted[0] = true; believed[0] = true;
    run owner(); run dispatcher(0); run dispatcher(1); run worker0()
  }
}
