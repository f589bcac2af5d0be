/*
 * A failure domain is taken out, returns and is taken out again while balancers
 * and agents learn the versions at different times.
 *
 * Describes: bergamotbank/connection/flows, bergamotbank/connection/forward and
 * bergamotbank/version/spread.
 *
 * Odd versions have the domain out, even ones have it in. Agent INSIDE is in the
 * domain, agent OUTSIDE is not. A balancer with an old version may still send a
 * packet towards the domain; whoever knows better on the way must stop it.
 *
 * Properties:
 *   - a process whose version has the domain out sends nothing to it;
 *   - an agent of the domain whose version has the domain out delivers nothing;
 *   - the version of a process never goes back.
 *
 * Mutants (each must fail):
 *   BALANCERS_ONLY   only the balancers obey; agents pass on and deliver
 *   REVERT           a process takes an older version from a peer
 */

#define OUTSIDE 0
#define INSIDE  1
#define LAST    3

byte balancer[2];
byte agent[2];

#define out(version) ((version) % 2 == 1)

/* Versions reach processes from the store or from one another. */
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
		/* The balancer sends outside, whose holder is inside: pass on. */
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
