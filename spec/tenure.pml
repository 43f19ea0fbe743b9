/*
 * One task of one pool, two members that own the pool in turn, two workers.
 *
 * A member owns the pool through a row of the store. It is certain of that until its term ends,
 * and gives orders until its authority ends, which is later. Workers keep the highest fence and
 * refuse lower ones. What runs on a worker ends when no extension of its lease is live. Orders
 * may be carried out late, as long as the lease that they carry is live.
 *
 * Checked: the task never runs on both workers at once, and never starts after an end that was
 * acknowledged as done, unless the worker's lease had ended in between.
 *
 * MUTANT 1: an end is acknowledged before it is stored.
 * MUTANT 2: an owner takes a lapse of its own extensions for the end of a run without being
 *           certain of its tenure.
 * MUTANT 3: a new owner starts recovered tasks without waiting for workers that are silent.
 * MUTANT 4: workers do not compare fences.
 * MUTANT 5: a late start is carried out although its lease has ended.
 * MUTANT 6: an owner ignores that its predecessor may have extended the lease of an adopted run.
 * MUTANT 7: an owner that is not certain of its tenure takes the wait for silent workers as over.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#define NONE 2
#define FENCES 3

byte holder = NONE;          /* of the row */
byte lastFence = 0;
byte fenceOf[2];             /* of each member's tenure */
bool certain[2];
bool authorized[2];
bool settled[2];
bool answered[4];            /* member * 2 + worker */
byte belief[2] = NONE;       /* worker on which a member believes the task to run */
bool sawDone[2];
bool recovered[2];           /* the task may have run under an earlier tenure */

bool stored = false;         /* the done end is durable */
bool acked = false;
bool excused = false;        /* the lease of a worker ended while it listed a done end: its run may be repeated */

byte fence[2];               /* of each worker */
bool running[2];
bool live[4];                /* member * 2 + worker: an extension of the lease is live */
bool ended[2];               /* a done end is listed */
bool pending[2];             /* a start by a member is under way to a worker */
byte pendingAt[2] = NONE;
byte pendingFence[2];

#define IX(m, w) ((m) * 2 + (w))

inline begin(w) {
  assert(!acked || excused);
  running[w] = true;
  assert(!(running[0] && running[1]));
}

inline kill(w) { running[w] = false; }

proctype member(byte m) {
  byte w;
  do
  /* take the pool over when its holder is not certain any more */
  :: atomic { holder != m && lastFence < FENCES && (holder == NONE || !certain[1 - m]) ->
       recovered[m] = (holder != NONE);
       holder = m; lastFence++; fenceOf[m] = lastFence;
       certain[m] = true; authorized[m] = true;
       settled[m] = !recovered[m];
       answered[IX(m, 0)] = false; answered[IX(m, 1)] = false;
       belief[m] = NONE; sawDone[m] = stored; }
  /* time passes for a member that can't renew */
  :: atomic { certain[m] -> certain[m] = false }
  :: atomic { authorized[m] && !certain[m] -> authorized[m] = false }
  /* renew: only the holder can */
  :: atomic { authorized[m] && holder == m && !certain[m] -> certain[m] = true }
  /* notice that another member holds the pool */
  :: atomic { authorized[m] && holder != m -> authorized[m] = false }
  /* look at a worker */
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
  /* store a done end, then let the worker forget it */
  :: atomic { authorized[m] && sawDone[m] && !stored && holder == m -> stored = true }
  :: atomic { authorized[m] && sawDone[m] && (stored || MUTANT == 1) ->
       if :: w = 0 :: w = 1 fi;
       if
       :: ended[w] && fenceOf[m] >= fence[w] -> ended[w] = false; acked = true
       :: else
       fi }
  /* recovered tasks may start: every worker has answered, or can have no run */
  :: atomic { authorized[m] && !settled[m] &&
       (answered[IX(m, 0)] || MUTANT == 3 || ((certain[m] || MUTANT == 7) && !authorized[1 - m] && !live[IX(0, 0)] && !live[IX(1, 0)])) &&
       (answered[IX(m, 1)] || MUTANT == 3 || ((certain[m] || MUTANT == 7) && !authorized[1 - m] && !live[IX(0, 1)] && !live[IX(1, 1)])) ->
       settled[m] = true }
  /* order a start; it may be carried out late */
  :: atomic { authorized[m] && settled[m] && belief[m] == NONE && !sawDone[m] && !pending[m] ->
       if :: w = 0 :: w = 1 fi;
       if
       :: answered[IX(m, w)] ->
            belief[m] = w; live[IX(m, w)] = true;
            pending[m] = true; pendingAt[m] = w; pendingFence[m] = fenceOf[m]
       :: else
       fi }
  /* a worker is silent, and the own extensions and those of predecessors have ended */
  :: atomic { authorized[m] && belief[m] != NONE && !live[IX(m, belief[m])] &&
       ((certain[m] && (MUTANT == 6 || !live[IX(1 - m, belief[m])])) || MUTANT == 2) &&
       !(pending[m] && MUTANT == 5) ->
       belief[m] = NONE; pending[m] = false; pendingAt[m] = NONE }
  od
}

proctype worker(byte w) {
  byte m;
  do
  /* a start arrives */
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
  /* an extension ends; without any, what runs is killed */
  :: atomic { live[IX(0, w)] -> live[IX(0, w)] = false;
       if :: !live[IX(1, w)] -> kill(w); excused = excused || ended[w] :: else fi }
  :: atomic { live[IX(1, w)] -> live[IX(1, w)] = false;
       if :: !live[IX(0, w)] -> kill(w); excused = excused || ended[w] :: else fi }
  od
}

init {
  atomic { run member(0); run member(1); run worker(0); run worker(1) }
}
