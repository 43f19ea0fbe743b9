/*
 * Escrow: one team's limit is divided into portions of the members in one row of the table
 * service.
 *
 * A write is a compare-and-set of the whole row. It may take effect late, and its response may
 * be lost. A member whose write has an unknown outcome uses the smaller of the old and the new
 * portion until the row's version has changed. The portion of a failed or unresponsive member is
 * reclaimed only after its term has ended and the hard deadline of the requests that it started
 * has passed.
 *
 * Checked: the requests that run never exceed the limit, and the portions and the rest always
 * sum up to the limit.
 *
 * Mutants (-DMUTANT=n): 1 reclaim without waiting for the hard deadline, 2 use the larger
 * portion after a lost response, 3 start requests after the member's own term has ended, 4 write
 * without the version check, 5 reduce the portion in the row before reducing it locally.
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

/* One write in flight for each member: the version that it checks, and the values. */
bool pend[N];
byte pver[N];
byte pport[N];
byte prest[N];

byte usable[N];         /* slots that the member may use */
byte running[N];
bool term_over[N];      /* the member's own clock says that its term has ended */
bool hard_over[N];      /* an observer's clock says that the term has ended and the hard deadline has passed */
byte total = 0;         /* running requests of all members */

/* Limit on the number of changes, to keep the state space small. Versions are only compared
 * for equality. */
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

	/* Request one more slot. */
	:: atomic { (state == idle && !pend[i] && rest > 0 && ver < MAXVER && !term_over[i]) ->
		rv = ver; old = usable[i]; new = portion[i] + 1;
		pver[i] = ver; pport[i] = new; prest[i] = rest - 1; pend[i] = true; state = waiting }

	/* Return one slot; reduce the local portion first. */
#if MUTANT == 5
	:: atomic { (state == idle && !pend[i] && portion[i] > 0 && usable[i] == portion[i] && ver < MAXVER) ->
		rv = ver; old = usable[i]; new = portion[i] - 1;
#else
	:: atomic { (state == idle && !pend[i] && portion[i] > 0 && usable[i] == portion[i] && running[i] < usable[i] && ver < MAXVER) ->
		usable[i]--; rv = ver; old = usable[i]; new = portion[i] - 1;
#endif
		pver[i] = ver; pport[i] = new; prest[i] = rest + 1; pend[i] = true; state = waiting }

	/* The write takes effect and its response arrives. */
	:: atomic { (state == waiting && pend[i] && pver[i] == ver) ->
		APPLY(i); usable[i] = new; FORGET }
	/* The response is a conflict: read the row again. */
	:: atomic { (state == waiting && pend[i] && pver[i] != ver) ->
#if MUTANT == 4
		APPLY(i); usable[i] = new; FORGET }
#else
		CLEAR(i); usable[i] = MIN(usable[i], portion[i]); FORGET }
#endif
	/* No response in time; the write may still take effect. */
	:: atomic { (state == waiting) ->
#if MUTANT == 2
		usable[i] = MAX(old, new);
#else
		usable[i] = MIN(old, new);
#endif
		state = uncertain }
	/* Reading the row back confirms the outcome only once its version has changed: then the
	 * write has taken effect or never will. */
	:: atomic { (state == uncertain && ver != rv && !term_over[i]) ->
		CLEAR(i); usable[i] = portion[i]; FORGET }

	/* A successful renewal of the term. It reads the row, so the member stops using a portion
	 * that was reclaimed. */
	:: atomic { (term_over[i] && state == idle) ->
		term_over[i] = false; hard_over[i] = false;
		usable[i] = MIN(usable[i], portion[i]) }
	od
}

/* The network: a write whose response was lost takes effect late, or not at all. */
active proctype network()
{
	byte i;
	do
	:: atomic { (pend[0] && pver[0] == ver) -> i = 0; APPLY(i) }
	:: atomic { (pend[1] && pver[1] == ver) -> i = 1; APPLY(i) }
	od
}

/* Time: a term ends, and later the deadlines of all requests started during the term pass. */
proctype time(byte i)
{
	do
	:: atomic { !term_over[i] -> term_over[i] = true }
	:: atomic { (term_over[i] && !hard_over[i]) ->
		total = total - running[i]; running[i] = 0; hard_over[i] = true }
	od
}

/* Any other member reclaims the portion of an unresponsive one. */
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
