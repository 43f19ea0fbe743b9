/*
 * Freshness of keys. A key is withdrawn by one accepted change. Members confirm that their
 * configuration is the newest by reading the table service, by a peer's confirmation, or by
 * unanimity of all members. A member accepts the key while its last confirmation is at most
 * BOUND ticks old. Partitions between members and the store, and between members, come and go.
 *
 * Mutants (-DMUTANT=n): 1 a read counts from its answer instead of from before it was sent,
 * 2 a peer's confirmation is taken as of now, 3 unanimity although a member's accept is in
 * progress, 4 unanimity of a majority only, 5 the age is not checked.
 */
#ifndef MUTANT
#define MUTANT 0
#endif
#define N 2
#define BOUND 1
#define END 4
#define RESET sent = 0; age = 0; their = 0; seen = false; ok = false

byte now = 0;
bool withdrawn = false;        /* the change is committed in the table service */
byte when = 0;                 /* when it was committed */
bool knows[N];                 /* the member has applied the change */
bool accepting[N];             /* the member's accept is in progress: it may have been committed */
byte confirmed[N];             /* time as of which the member's configuration was the newest */

proctype member(byte i)
{
	byte sent, age, their;
	bool seen, ok;
	byte j = 1 - i;
	do
	:: now == END -> break
	/* Serve with the key. */
	:: atomic { (!knows[i]
#if MUTANT != 5
		&& now - confirmed[i] <= BOUND
#endif
		) -> assert(!withdrawn || now - when <= BOUND) }
	/* Read the table service: sent, read, answered. */
	:: atomic { sent = now };
		atomic { seen = withdrawn };
		atomic {
			knows[i] = knows[i] || seen;
#if MUTANT == 1
			sent = now;
#endif
			if :: (sent > confirmed[i]) -> confirmed[i] = sent :: else fi; RESET }
	/* Ask the peer for its confirmation. */
	:: atomic { sent = now };
		atomic { seen = knows[j]; age = now - confirmed[j] };
		atomic {
			knows[i] = knows[i] || seen;
#if MUTANT == 2
			their = now;
#else
			their = (sent >= age -> sent - age : 0);
#endif
			if :: (their > confirmed[i]) -> confirmed[i] = their :: else fi; RESET }
	/* Unanimity: every member says that it holds nothing newer and accepts nothing. */
	:: atomic { sent = now };
		atomic { seen = knows[j];
#if MUTANT == 3
			ok = true;
#else
			ok = !accepting[j] && !accepting[i];
#endif
#if MUTANT == 4
			ok = !accepting[i]; seen = knows[i];
#endif
		};
		atomic {
			if
			:: ok && !seen && (sent > confirmed[i]) -> confirmed[i] = sent
			:: else -> knows[i] = knows[i] || seen
			fi; RESET }
	/* Accept the change: commit it, then learn that it was committed. */
	:: atomic { (!withdrawn && !accepting[0] && !accepting[1]) -> accepting[i] = true };
		if
		:: atomic { !withdrawn -> withdrawn = true; when = now }
		:: true                      /* the write is lost */
		fi;
		if
		:: atomic { knows[i] = knows[i] || withdrawn; accepting[i] = false }
		:: true                      /* the answer is lost: still in progress */
		fi
	od
}

active proctype tick()
{
	do
	:: atomic { now < END -> now++ }
	:: now == END -> break
	od
}

init { atomic { run member(0); run member(1) } }
