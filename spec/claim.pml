/*
 * Claims of requests that are not idempotent. A caller sends the same idempotency key to two
 * members, one after the other or at once. Each member claims the key by creating its row with
 * check version 0 (absent) and an attempt id of its own. A write may take effect late, and its
 * response may be lost.
 *
 * Checked: the request runs at most once, and a member that responds "not run" has not sent it.
 *
 * Mutants (-DMUTANT=n): 1 run after a lost response without reading the row back, 2 create the
 * row without the version check, 3 take over the claim of another member, 4 respond "not run"
 * after the request was sent, 5 release a claim although a byte was sent to a target.
 */
#ifndef MUTANT
#define MUTANT 0
#endif
#define N 2
#define ABSENT 0
#define TRIES 2

mtype = { none, not_run, ran, unknown };

byte row = ABSENT;       /* ABSENT, or the attempt id that claimed the key */
byte attempt[N];         /* an attempt id is 1 + i + N * try */
bool pend[N];
byte pattempt[N];
byte runs = 0;
bool sent_by[N];         /* bytes of this member's attempt were sent to a target */
mtype told[N];           /* last response of each member to the caller */

proctype member(byte i)
{
	byte id;
	byte tries = 0;
again:
	if
	:: tries == TRIES -> goto done
	:: else
	fi;
	atomic { id = 1 + i + N * tries; tries++; sent_by[i] = false; pattempt[i] = id; pend[i] = true };
	/* Wait for the response to the write, or time out. */
	if
	:: atomic { (pend[i] && (row == ABSENT
#if MUTANT == 2
		|| true
#endif
		)) -> row = id; pend[i] = false }; goto holds
	:: atomic { (pend[i] && row != ABSENT) -> pend[i] = false };
#if MUTANT == 3
		goto holds
#else
		goto refused
#endif
	:: true ->                       /* response lost: the write stays in flight */
#if MUTANT == 1
		goto holds
#else
		if
		:: atomic { (row == id) -> pend[i] = false }; goto holds
		:: (row != id) -> goto refused
		:: true -> goto refused      /* reading back fails too */
		fi
#endif
	:: true -> goto done             /* the member crashes */
	fi;
holds:
	if
	:: atomic { runs++; sent_by[i] = true; assert(runs <= 1) };
		if
		:: told[i] = ran
#if MUTANT == 4
		:: told[i] = not_run
#else
		:: told[i] = unknown
#endif
#if MUTANT == 5
		:: atomic { (row == id) -> row = ABSENT }; goto again
#endif
		fi;
		goto done
	:: true -> goto done             /* the member crashes before it sends */
	:: true ->                       /* no connection, so the request did not run: release the claim */
		atomic { if :: row == id -> row = ABSENT :: else fi };
		told[i] = not_run; goto again
	fi;
refused:
	told[i] = not_run;
	/* The caller may retry at this member or the other one. */
	goto again;
done:
	/* The response "not run" is true for the attempt that it belongs to. */
	assert(!(told[i] == not_run && sent_by[i]))
}

/* A write whose response was lost takes effect late if the row is still absent. */
active proctype network()
{
	do
	:: atomic { (pend[0] && row == ABSENT) -> row = pattempt[0]; pend[0] = false }
	:: atomic { (pend[1] && row == ABSENT) -> row = pattempt[1]; pend[1] = false }
	od
}

init { atomic { run member(0); run member(1) } }
