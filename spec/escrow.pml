/*
 * Escrow of one team's limit between members through one row of the table service.
 *
 * A write is a compare-and-set of the whole row. It may take effect late, and its answer may
 * be lost. A member that does not know what became of its write keeps the smaller portion
 * until the row's version has moved on. A dead or silent member's portion is reclaimed only
 * after its term and the hard deadline of what it started.
 *
 * Mutants (-DMUTANT=n): 1 reclaim without waiting for the hard deadline, 2 keep the larger
 * portion after a lost answer, 3 start requests after the own term has ended, 4 write without
 * the version check, 5 lower the portion in the row before lowering it locally.
 */
#ifndef MUTANT
#define MUTANT 0
#endif
#define N 2
#define LIMIT 2

#define MIN(a, b) ((a) * ((a) <= (b)) + (b) * ((b) < (a)))
#define MAX(a, b) ((a) * ((a) >= (b)) + (b) * ((b) > (a)))

mtype = { idle, waiting, uncertain };

/* The row. */
byte ver = 0;
byte portion[N];
byte rest = LIMIT;

/* One write in flight for each member: its check and its value. */
bool pend[N];
byte pver[N];
byte pport[N];
byte prest[N];

byte usable[N];         /* what the member may use */
byte running[N];
bool term_over[N];      /* the member's own clock says that its term has ended */
bool hard_over[N];      /* the observer's clock says that term and hard deadline are over */
byte total = 0;         /* running, fleet-wide */

/* Versions are kept small: only equality matters, and at most this many changes happen. */
#define MAXVER 6

#define CLEAR(i) pend[i] = false; pver[i] = 0; pport[i] = 0; prest[i] = 0
#define FORGET rv = 0; old = 0; new = 0; state = idle

#define APPLY(i) \
	ver++; rest = prest[i]; portion[i] = pport[i]; CLEAR(i); \
	assert(portion[0] + portion[1] + rest == LIMIT)

proctype member(byte i)
{
	mtype state = idle;
	byte rv, old, new;
	do
	/* Start and end requests. */
	:: atomic {
#if MUTANT == 3
		(running[i] < usable[i]) ->
#else
		(running[i] < usable[i] && !term_over[i]) ->
#endif
		running[i]++; total++; assert(total <= LIMIT) }
	:: atomic { (running[i] > 0) -> running[i]--; total-- }

	/* Ask for one slot more. */
	:: atomic { (state == idle && !pend[i] && rest > 0 && ver < MAXVER && !term_over[i]) ->
		rv = ver; old = usable[i]; new = portion[i] + 1;
		pver[i] = ver; pport[i] = new; prest[i] = rest - 1; pend[i] = true; state = waiting }

	/* Give one slot back: locally first. */
#if MUTANT == 5
	:: atomic { (state == idle && !pend[i] && portion[i] > 0 && usable[i] == portion[i] && ver < MAXVER) ->
		rv = ver; old = usable[i]; new = portion[i] - 1;
#else
	:: atomic { (state == idle && !pend[i] && portion[i] > 0 && usable[i] == portion[i] && running[i] < usable[i] && ver < MAXVER) ->
		usable[i]--; rv = ver; old = usable[i]; new = portion[i] - 1;
#endif
		pver[i] = ver; pport[i] = new; prest[i] = rest + 1; pend[i] = true; state = waiting }

	/* The write takes effect and its answer arrives. */
	:: atomic { (state == waiting && pend[i] && pver[i] == ver) ->
		APPLY(i); usable[i] = new; FORGET }
	/* The answer says conflict. The row is read again. */
	:: atomic { (state == waiting && pend[i] && pver[i] != ver) ->
#if MUTANT == 4
		APPLY(i); usable[i] = new; FORGET }
#else
		CLEAR(i); usable[i] = MIN(usable[i], portion[i]); FORGET }
#endif
	/* No answer in time; the write may still take effect. */
	:: atomic { (state == waiting) ->
#if MUTANT == 2
		usable[i] = MAX(old, new);
#else
		usable[i] = MIN(old, new);
#endif
		state = uncertain }
	/* Reading back decides only when the row has moved on: then the write has taken effect
	 * or never will. */
	:: atomic { (state == uncertain && ver != rv && !term_over[i]) ->
		CLEAR(i); usable[i] = portion[i]; FORGET }

	/* Renewal of the term, answered. It reads the row, so a reclaimed portion is given up. */
	:: atomic { (term_over[i] && state == idle) ->
		term_over[i] = false; hard_over[i] = false;
		usable[i] = MIN(usable[i], portion[i]) }
	od
}

/* The network: a write whose answer is lost takes effect late, or not at all. */
active proctype network()
{
	byte i;
	do
	:: atomic { (pend[0] && pver[0] == ver) -> i = 0; APPLY(i) }
	:: atomic { (pend[1] && pver[1] == ver) -> i = 1; APPLY(i) }
	od
}

/* Time: a term ends, then every request that it can have started is past its deadline. */
proctype time(byte i)
{
	do
	:: atomic { !term_over[i] -> term_over[i] = true }
	:: atomic { (term_over[i] && !hard_over[i]) ->
		total = total - running[i]; running[i] = 0; hard_over[i] = true }
	od
}

/* Any other member reclaims what a silent one held. */
proctype reclaim(byte i)
{
	do
#if MUTANT == 1
	:: atomic { (term_over[i] && portion[i] > 0 && ver < MAXVER) ->
#else
	:: atomic { (hard_over[i] && portion[i] > 0 && ver < MAXVER) ->
#endif
		rest = rest + portion[i]; portion[i] = 0; ver++;
		assert(portion[0] + portion[1] + rest == LIMIT) }
	od
}

init {
	atomic {
		run member(0); run member(1); run time(0); run time(1); run reclaim(0); run reclaim(1)
	}
}
