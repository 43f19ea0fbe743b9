/*
 * Claims of a request that is not idempotent. A caller sends the same idempotency key to two
 * members, one after the other or at once. Each claims the row with check version 0 (absent),
 * under an attempt id of its own. Writes may take effect late and answers may be lost.
 *
 * Mutants (-DMUTANT=n): 1 run after a lost answer without reading back, 2 create the row
 * without the check, 3 take over a claim of another member, 4 answer "not run" after the
 * request was sent, 5 release a claim although a byte was sent.
 */
#ifndef MUTANT
#define MUTANT 0
#endif
#define N 2
#define ABSENT 0
#define TRIES 2

mtype = { none, not_run, ran, unknown };

byte row = ABSENT;       /* 0 absent, otherwise the attempt id that holds it */
byte attempt[N];         /* attempt ids in flight: 1 + i + N * try */
bool pend[N];
byte pattempt[N];
byte runs = 0;
bool sent_by[N];         /* bytes of this member's attempt reached a target */
mtype told[N];           /* what the caller was told last by each member */

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
	/* Wait for the answer, or give up waiting. */
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
	:: true ->                       /* answer lost: the write stays in flight */
#if MUTANT == 1
		goto holds
#else
		if
		:: atomic { (row == id) -> pend[i] = false }; goto holds
		:: (row != id) -> goto refused
		:: true -> goto refused      /* read back fails too */
		fi
#endif
	:: true -> goto done             /* the member dies */
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
	:: true -> goto done             /* the member dies before it sends */
	:: true ->                       /* no connection: certainly not run, so release */
		atomic { if :: row == id -> row = ABSENT :: else fi };
		told[i] = not_run; goto again
	fi;
refused:
	told[i] = not_run;
	/* The caller may try again, here or there. */
	goto again;
done:
	/* A refusal that says "not run" is true for the attempt that it answers. */
	assert(!(told[i] == not_run && sent_by[i]))
}

/* A write whose answer was lost takes effect late if the row is still absent. */
active proctype network()
{
	do
	:: atomic { (pend[0] && row == ABSENT) -> row = pattempt[0]; pend[0] = false }
	:: atomic { (pend[1] && row == ABSENT) -> row = pattempt[1]; pend[1] = false }
	od
}

init { atomic { run member(0); run member(1) } }
