/*
 * Maximum staleness of keys. A key is withdrawn by one accepted change. Members confirm that
 * their configuration is the newest by reading the table service, by a peer's confirmation, or by
 * unanimity of all members. A member accepts the key while its last confirmation is at most
 * BOUND ticks old. Network partitions between members and the store, and between members, begin
 * and end at any time.
 *
 * Checked: no member accepts the key more than BOUND ticks after the commit of the withdrawal.
 *
 * Mutants (-DMUTANT=n): 1 a read counts from the time of its response instead of from before it
 * was sent, 2 a peer's confirmation counts from now, regardless of its age, 3 unanimity although a
 * member's accept is in progress, 4 a majority counts as unanimity, 5 the age is not checked.
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
	/* Accept a request with the key. */
	:: atomic { (!knows[i]
#if MUTANT != 5
		&& now - confirmed[i] <= BOUND
#endif
		) -> assert(!withdrawn || now - when <= BOUND) }
	/* Read the table service: send the request, read, receive the response. */
	:: atomic { sent = now };
		atomic { seen = withdrawn };
		atomic {
			knows[i] = knows[i] || seen;
#if MUTANT == 1
			sent = now;
#endif
			if :: (sent > confirmed[i]) -> confirmed[i] = sent :: else fi; RESET }
	/* Request the peer's confirmation. */
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
	/* Unanimity: every member reports no newer configuration and no accept in progress. */
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
	/* Accept the change: commit it, then receive the response to the commit. */
	:: atomic { (!withdrawn && !accepting[0] && !accepting[1]) -> accepting[i] = true };
		if
		:: atomic { !withdrawn -> withdrawn = true; when = now }
		:: true                      /* the write is lost */
		fi;
		if
		:: atomic { knows[i] = knows[i] || withdrawn; accepting[i] = false }
		:: true                      /* the response is lost: still in progress */
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
