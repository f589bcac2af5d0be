/*
 * A failure domain is taken out of service, returned to service and taken out
 * again while balancers and agents receive the versions at different times.
 *
 * Models: bergamotbank/connection/flows, bergamotbank/connection/forward and
 * bergamotbank/version/spread.
 *
 * The domain is out of service in odd versions and in service in even ones. Agent
 * INSIDE is in the domain, agent OUTSIDE is not. A balancer with an old version may
 * still send a packet to the domain; a process on the path with a newer version
 * must drop it.
 *
 * Properties:
 *   - a process in whose version the domain is out sends nothing to the domain;
 *   - an agent of the domain in whose version the domain is out delivers nothing;
 *   - the version of a process never decreases.
 *
 * Mutants (each must fail):
 *   BALANCERS_ONLY   only balancers enforce the version; agents forward and deliver
 *   REVERT           a process applies an older version from a peer
 */

#define OUTSIDE 0
#define INSIDE  1
#define LAST    3

byte balancer[2];
byte agent[2];

#define out(version) ((version) % 2 == 1)

/* A process receives versions from the store or from another process. */
inline learn(mine, other)
{
	atomic {
		if
#ifdef REVERT
		:: other != mine -> assert(other > mine); mine = other
#else
		:: other > mine -> mine = other
#endif
		fi
	}
}

active proctype spread()
{
	byte accepted;

	accepted = 0;
	do
	:: accepted < LAST -> accepted++
	:: learn(balancer[0], accepted)
	:: learn(balancer[1], balancer[0])
	:: learn(agent[OUTSIDE], balancer[1])
	:: learn(agent[INSIDE], balancer[0])
	:: learn(agent[INSIDE], agent[OUTSIDE])
	:: balancer[0] == LAST && balancer[1] == LAST &&
	   agent[OUTSIDE] == LAST && agent[INSIDE] == LAST -> break
	od
}

active proctype packets()
{
	byte b, sent;

	sent = 0;
	do
	:: sent == 4 -> break
	:: else ->
		sent++;
		if
		:: b = 0
		:: b = 1
		fi;
		if
		/* The balancer sends to the agent inside the domain. */
		:: !out(balancer[b]) -> goto inside
		/* The balancer sends to the agent outside, which forwards to the holder inside. */
		:: true ->
			atomic {
				if
#ifdef BALANCERS_ONLY
				:: true ->
#else
				:: !out(agent[OUTSIDE]) ->
#endif
					assert(!out(agent[OUTSIDE]))
#ifndef BALANCERS_ONLY
				:: else -> goto next
#endif
				fi
			};
			goto inside
		fi;
inside:
		atomic {
			if
#ifdef BALANCERS_ONLY
			:: true ->
#else
			:: !out(agent[INSIDE]) ->
#endif
				assert(!out(agent[INSIDE]))
#ifndef BALANCERS_ONLY
			:: else
#endif
			fi
		};
next:
		skip
	od
}
