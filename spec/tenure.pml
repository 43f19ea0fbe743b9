/*
 * Owner lease of a pool: one task of one pool, two members that own the pool in turn, and two
 * workers.
 *
 * A member owns the pool through a fenced lease, which is a row of the store. Until the term of
 * the lease ends, the member is certain that no other one owns the pool; it may send orders until
 * its authority ends, which is later. A worker records the highest fence and refuses orders with
 * a lower one. Runs on a worker end when each extension of the worker's lease has expired. An
 * order may be carried out late, as long as the lease that it carries has not expired.
 *
 * Checked: the task never runs on both workers at once, and never starts after an end that was
 * acknowledged as done, unless the worker's lease expired in between.
 *
 * MUTANT 1: an end is acknowledged before it is stored.
 * MUTANT 2: an owner that is not certain of its owner lease takes the expiry of its own lease
 *           extensions as the end of a run.
 * MUTANT 3: a new owner starts recovered tasks without waiting for unresponsive workers.
 * MUTANT 4: workers do not compare fences.
 * MUTANT 5: a late start is carried out although its lease has expired.
 * MUTANT 6: an owner ignores that its predecessor may have extended the lease of an adopted run.
 * MUTANT 7: an owner that is not certain of its owner lease takes the wait for unresponsive
 *           workers as over.
 * MUTANT 8: after a release, a new owner does not wait for the orders of owners before the one that
 *           released the pool.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#define NONE 2
#define FENCES 3

byte holder = NONE;          /* member that holds the owner lease */
byte lastFence = 0;
bool released = false;       /* the last owner has released the pool */
byte fenceOf[2];             /* of each member's owner lease */
bool certain[2];
bool authorized[2];
bool settled[2];
bool answered[4];            /* member * 2 + worker: the worker has responded to the member's poll */
byte belief[2] = NONE;       /* worker on which the task runs, as recorded by each member */
bool sawDone[2];
bool recovered[2];           /* the task may have run under an earlier owner lease */

bool stored = false;         /* the end of the task is stored */
bool acked = false;
bool excused = false;        /* the lease of a worker expired while it reported a done run, so the run may be repeated */

byte fence[2];               /* highest fence that each worker has received */
bool running[2];
bool live[4];                /* member * 2 + worker: the member's extension of the lease has not expired */
bool ended[2];               /* the worker reports a done run in its poll responses */
bool pending[2];             /* a start order of the member is in flight */
byte pendingAt[2] = NONE;
byte pendingFence[2];

#define IX(m, w) ((m) * 2 + (w))

/* no earlier owner sends orders any more */
#define ordersEnded(m) (!authorized[1 - m] || (MUTANT == 8 && released))

inline begin(w) {
  assert(!acked || excused);
  running[w] = true;
  assert(!(running[0] && running[1]));
}

inline kill(w) { running[w] = false; }

proctype member(byte m) {
  byte w;
  do
  /* take over the pool when its holder is not certain any more */
  :: atomic { holder != m && lastFence < FENCES && (holder == NONE || !certain[1 - m]) ->
       recovered[m] = (lastFence > 0);
       holder = m; lastFence++; fenceOf[m] = lastFence;
       certain[m] = true; authorized[m] = true;
       settled[m] = !recovered[m];
       answered[IX(m, 0)] = false; answered[IX(m, 1)] = false;
       belief[m] = NONE; sawDone[m] = stored; }
  /* stop during the recovery and release the pool, once no order is in flight */
  :: atomic { holder == m && certain[m] && !settled[m] && !pending[m] ->
       holder = NONE; released = true; certain[m] = false; authorized[m] = false }
  /* the term and then the authority end for a member that cannot renew */
  :: atomic { certain[m] -> certain[m] = false }
  :: atomic { authorized[m] && !certain[m] -> authorized[m] = false }
  /* renew the owner lease; only its holder can */
  :: atomic { authorized[m] && holder == m && !certain[m] -> certain[m] = true }
  /* observe that another member holds the owner lease */
  :: atomic { authorized[m] && holder != m -> authorized[m] = false }
  /* poll a worker: extend its lease and read its runs */
  :: atomic { authorized[m] ->
       if :: w = 0 :: w = 1 fi;
       if
       :: (MUTANT == 4 || fenceOf[m] >= fence[w]) ->
            fence[w] = fenceOf[m]; live[IX(m, w)] = true; answered[IX(m, w)] = true;
            if
            :: running[w] -> belief[m] = w
            :: ended[w] -> sawDone[m] = true;
                 if :: belief[m] == w -> belief[m] = NONE :: else fi
            :: else ->
                 if :: belief[m] == w && pendingAt[m] != w -> belief[m] = NONE :: else fi
            fi
       :: else -> authorized[m] = false
       fi }
  /* store the end of a done run, then acknowledge it to the worker */
  :: atomic { authorized[m] && sawDone[m] && !stored && holder == m -> stored = true }
  :: atomic { authorized[m] && sawDone[m] && (stored || MUTANT == 1) ->
       if :: w = 0 :: w = 1 fi;
       if
       :: ended[w] && fenceOf[m] >= fence[w] -> ended[w] = false; acked = true
       :: else
       fi }
  /* finish recovery, so that recovered tasks may start: each worker has responded or cannot have
     a run in progress */
  :: atomic { authorized[m] && !settled[m] &&
       (answered[IX(m, 0)] || MUTANT == 3 || ((certain[m] || MUTANT == 7) && ordersEnded(m) && !live[IX(0, 0)] && !live[IX(1, 0)])) &&
       (answered[IX(m, 1)] || MUTANT == 3 || ((certain[m] || MUTANT == 7) && ordersEnded(m) && !live[IX(0, 1)] && !live[IX(1, 1)])) ->
       settled[m] = true }
  /* send a start order, which may be carried out late */
  :: atomic { authorized[m] && settled[m] && belief[m] == NONE && !sawDone[m] && !pending[m] ->
       if :: w = 0 :: w = 1 fi;
       if
       :: answered[IX(m, w)] ->
            belief[m] = w; live[IX(m, w)] = true;
            pending[m] = true; pendingAt[m] = w; pendingFence[m] = fenceOf[m]
       :: else
       fi }
  /* the worker is unresponsive, and the lease extensions of this member and of its predecessors
     have expired */
  :: atomic { authorized[m] && belief[m] != NONE && !live[IX(m, belief[m])] &&
       ((certain[m] && (MUTANT == 6 || !live[IX(1 - m, belief[m])])) || MUTANT == 2) &&
       !(pending[m] && MUTANT == 5) ->
       belief[m] = NONE; pending[m] = false; pendingAt[m] = NONE }
  od
}

proctype worker(byte w) {
  byte m;
  do
  /* a start order arrives */
  :: atomic { (pending[0] && pendingAt[0] == w) || (pending[1] && pendingAt[1] == w) ->
       if
       :: pending[0] && pendingAt[0] == w -> m = 0
       :: pending[1] && pendingAt[1] == w -> m = 1
       fi;
       pending[m] = false; pendingAt[m] = NONE;
       if
       :: (MUTANT == 4 || pendingFence[m] >= fence[w]) && (live[IX(m, w)] || MUTANT == 5) && !running[w] ->
            fence[w] = pendingFence[m]; begin(w)
       :: else
       fi }
  /* the task is done */
  :: atomic { running[w] -> kill(w); ended[w] = true }
  /* an extension of the lease expires; without another one, the run is killed */
  :: atomic { live[IX(0, w)] -> live[IX(0, w)] = false;
       if :: !live[IX(1, w)] -> kill(w); excused = excused || ended[w] :: else fi }
  :: atomic { live[IX(1, w)] -> live[IX(1, w)] = false;
       if :: !live[IX(0, w)] -> kill(w); excused = excused || ended[w] :: else fi }
  od
}

init {
  atomic { run member(0); run member(1); run worker(0); run worker(1) }
}
