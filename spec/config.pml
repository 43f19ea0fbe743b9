/*
 * The log of release notes. Two operators concurrently submit notes based on the version that
 * they read; accepting a note is a compare-and-set of the head of the log. Responses may be lost
 * and writes may take effect late. A member receives versions in any order.
 *
 * Checked: at most one operator is told that its note became a version, that version is its
 * note, and a member never replaces its version by an older one.
 *
 * Mutants (-DMUTANT=n): 1 no check of the head, 2 after reading back, any newer head counts as
 * success, 3 a member replaces a newer version by an older one.
 */
#ifndef MUTANT
#define MUTANT 0
#endif
#define N 2
#define MAXVER 3

byte head = 0;
byte log[MAXVER + 1];      /* note id of each version; 0 means none */
bool pend[N];
byte pbase[N];
byte success[MAXVER + 1];  /* number of operators that were told that their note is this version */
byte view = 0;

#define COMMIT(i) head = pbase[i] + 1; log[pbase[i] + 1] = i + 1; pend[i] = false

proctype operator(byte i)
{
	byte base;
	do
	:: atomic { (head < MAXVER && !pend[i]) -> base = head; pbase[i] = base; pend[i] = true };
		if
#if MUTANT == 1
		:: atomic { pend[i] -> COMMIT(i) }; goto told
#else
		:: atomic { (pend[i] && pbase[i] == head) -> COMMIT(i) }; goto told
#endif
		:: atomic { (pend[i] && pbase[i] != head) -> pend[i] = false }; goto conflict
		/* The response is lost: read the head back. */
		:: (head > base) -> atomic {
#if MUTANT == 2
			if :: true -> pend[i] = false; goto told fi
#else
			if
			:: (log[base + 1] == i + 1) -> pend[i] = false; goto told
			:: else -> pend[i] = false; goto conflict
			fi
#endif
			}
		fi;
told:
		atomic { success[base + 1]++; assert(success[base + 1] <= 1); assert(log[base + 1] == i + 1) };
		goto next;
conflict:
		skip;
next:
		skip
	:: head == MAXVER -> break
	od
}

/* A write whose response was lost takes effect late. */
active proctype network()
{
	do
	:: atomic { (pend[0] && pbase[0] == head) -> COMMIT(0) }
	:: atomic { (pend[1] && pbase[1] == head) -> COMMIT(1) }
	:: (head == MAXVER) -> break
	od
}

active proctype member()
{
	byte got;
	do
	:: atomic {
		if
		:: got = head
		:: (head > 0) -> got = head - 1
		fi;
#if MUTANT == 3
		assert(got >= view); view = got
#else
		if :: (got > view) -> assert(log[got] != 0); view = got :: else fi
#endif
		}
	:: (view == MAXVER) -> break
	od
}

init { atomic { run operator(0); run operator(1) } }
