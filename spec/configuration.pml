/*
 * Configuration changes with concurrent operators, lost responses, a paused
 * lease holder and stale reads.
 *
 * Models: bergamotbank/version/publish and bergamotbank/version/spread.
 *
 * Each of two operators publishes one configuration text. The store holds the
 * root: a version and the operation that wrote it. A write takes effect only if the
 * root still has the version that the operator read. The response to a write can be
 * lost after the write took effect; the operator then searches the recent operations
 * by operation identifier. An operator can be paused at any point, which the model
 * represents as taking no step.
 *
 * Properties:
 *   - an operator with result "accepted" wrote a version, one with "refused" did not;
 *   - no version is written twice;
 *   - the version of a process never decreases.
 *
 * Mutants (each must fail):
 *   LEASE_ONLY     a write relies on the operator's lease and compares no version
 *   BLIND_REPEAT   a lost response causes a retry instead of a read
 *   NOT_MONOTONE   a process applies every version from a peer or the store
 */

#define OPERATORS  2
#define VERSIONS   4
#define NONE       255

mtype = { undecided, accepted, refused, unknown };

byte root_version = 0;
byte root_operation = NONE;
byte writes_of[OPERATORS];     /* effective writes of each operator */
byte writes_at[8];             /* effective writes of each version */
byte history[8];               /* operation that wrote each version */
mtype told[OPERATORS] = undecided;
bool lease_held = false;

/* Writes version + 1 if the version of the root is still the one that was read. */
inline write(me, expected, success)
{
	atomic {
		if
#ifdef LEASE_ONLY
		:: true ->
#else
		:: root_version == expected ->
#endif
			root_version = expected + 1;
			root_operation = me;
			writes_of[me]++;
			writes_at[root_version]++;
			history[root_version] = me;
			success = true
#ifndef LEASE_ONLY
		:: else -> success = false
#endif
		fi
	}
}

proctype operator(byte me)
{
	byte expected, tries;
	bool success, lost;

	/* The lease may expire while the operator is paused; another operator can then acquire it. */
	expected = root_version;
	tries = 0;
again:
	tries++;
	write(me, expected, success);
	if
	:: lost = true
	:: lost = false
	fi;
	if
	:: !lost && success -> told[me] = accepted
	:: !lost && !success -> told[me] = refused
	:: lost ->
#ifdef BLIND_REPEAT
		if
		:: tries < 2 -> goto again
		:: else -> told[me] = unknown
		fi
#else
		/* The root lists recent operations, so the read determines the result exactly. */
		atomic {
			byte v = 1;
			success = false;
			do
			:: v > root_version -> break
			:: else ->
				if
				:: history[v] == me -> success = true
				:: else
				fi;
				v++
			od;
			if
			:: success -> told[me] = accepted
			:: else -> told[me] = refused
			fi
		}
#endif
	fi;
	atomic {
		assert(told[me] != accepted || writes_of[me] == 1);
		assert(told[me] != refused || writes_of[me] == 0)
	}
}

/* A process reads versions from the store, which may return an old one. */
active proctype process()
{
	byte mine, seen, learned, reads;

	mine = 0;
	reads = 0;
	do
	:: reads == 4 -> break
	:: else ->
		reads++;
		atomic {
			seen = root_version;
			if
			:: seen > 0 -> learned = seen - 1
			:: learned = seen
			fi
		}
#ifdef NOT_MONOTONE
		assert(learned >= mine);
		mine = learned
#else
		if
		:: learned > mine -> mine = learned
		:: else
		fi
#endif
	od
}

init {
	byte i;
	for (i : 0 .. 7) {
		history[i] = NONE
	}
	atomic {
		run operator(0);
		run operator(1)
	}
	(_nr_pr <= 2);
	for (i : 0 .. 7) {
		assert(writes_at[i] <= 1)
	}
}
