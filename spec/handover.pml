/*
 * Handover of one instance from pool A to pool B. The assignment has a version: 0 serves A,
 * 1 leaves A, 2 serves B. The zone's controller writes under the fence of its lease row. It
 * writes version 2 only when each member has confirmed version 1 or its right to route has
 * expired. Members receive versions late and out of order.
 *
 * Checked: the instance never serves two pools at once.
 *
 * Mutants (-DMUTANT=n): 1 do not wait for confirmations, 2 a member continues to route after
 * its right to route has expired, 3 write without the fence of the lease, 4 a member returns to
 * an older version.
 */
#ifndef MUTANT
#define MUTANT 0
#endif
#define N 2
#define MAXVER 5
#define LEASES 4

byte ver = 0;             /* assignment version; an odd version is a handover in progress */
byte view[N];             /* version by which each member routes */
byte acked[N];            /* version that each member has confirmed, as recorded in the table */
bool lapsed[N];           /* the member's right to route has expired by its own clock */
byte lease = 0;           /* version of the lease row */

/* Pool that a version serves: 0 means none, 1 means A, 2 means B. */
#define POOL(v) ((v) % 2 == 1 -> 0 : ((v) % 4 == 0 -> 1 : 2))
#define ROUTES(i) (lapsed[i] -> 0 : POOL(view[i]))
#define ONE_POOL assert(!(ROUTES(0) != 0 && ROUTES(1) != 0 && ROUTES(0) != ROUTES(1)))

proctype member(byte i)
{
	do
	/* A message with the newest version arrives, or a delayed one with an older version. */
	:: atomic { (ver > view[i]) -> view[i] = ver; ONE_POOL }
	:: atomic { (ver > view[i] + 1) -> view[i] = view[i] + 1; ONE_POOL }
#if MUTANT == 4
	:: atomic { (view[i] > 1) -> view[i] = view[i] - 2; ONE_POOL }
#endif
	:: atomic { (view[i] > acked[i]) -> acked[i] = view[i] }
	/* No recent confirmation: the right to route expires, and the member stops routing. */
	:: atomic { !lapsed[i] ->
#if MUTANT == 2
		skip
#else
		lapsed[i] = true
#endif
		}
	/* A new confirmation: the member reads the newest version and routes again. */
	:: atomic { lapsed[i] -> view[i] = ver; lapsed[i] = false; ONE_POOL }
	od
}

/* The controller takes a member's right to route as expired only while the member's own clock
 * does. In mutant 2 the member ignores its clock, but the controller still takes its right to
 * route as expired. */
#if MUTANT == 2
#define SILENT(i) true
#else
#define SILENT(i) lapsed[i]
#endif

/* Two controllers that may both believe that they hold the lease. A controller may be paused
 * between its decision and its write. */
proctype controller()
{
	byte mine, v, step;
	do
	:: atomic { lease < LEASES -> lease++; mine = lease; v = ver; step = 0 };
		if
		:: atomic { (v < MAXVER && v % 2 == 0) -> step = 1 }
		:: atomic { (v < MAXVER && v % 2 == 1
#if MUTANT != 1
			&& (acked[0] >= v || SILENT(0)) && (acked[1] >= v || SILENT(1))
#endif
			) -> step = 1 }
		:: true -> step = 0
		fi;
		/* A member whose right to route expired may confirm again before the write. It then
		 * reads the current version, which leaves pool A, and routes by it. */
		atomic {
			if
#if MUTANT == 3
			:: (step == 1) -> assert(v + 1 > ver); ver = v + 1
#else
			:: (step == 1 && lease == mine) -> assert(v + 1 > ver); ver = v + 1
#endif
			:: else
			fi;
			ONE_POOL
		}
	:: lease == LEASES -> break
	od
}

init { atomic { run member(0); run member(1); run controller(); run controller() } }
