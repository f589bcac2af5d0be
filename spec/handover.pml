/*
 * Flow handover while balancers and agents have different views.
 *
 * Models: bergamotbank/connection/flows and bergamotbank/version/steering.
 *
 * There are one flow and three agents. In view v, agent v is the owner of the
 * flow's bucket. Views only increase, independently in each process. The candidate
 * list of a balancer holds the owner in its view and, as the only previous owner,
 * the owner in the view before. After two changes the list therefore no longer
 * contains the first holder, and only the registration of the holder with the
 * current owner preserves the flow.
 *
 * Properties:
 *   - no agent resets a flow that is established with another agent;
 *   - once all views are equal and the holder has registered, each packet of the
 *     flow reaches the holder;
 *   - the number of times that a packet is forwarded is bounded.
 *
 * Mutants (each must fail):
 *   NO_REGISTRATION     the holder does not register with the current owner
 *   RESET_UNKNOWN       an agent resets a flow that it does not know
 *   RESET_HALF_OPEN     an agent resets a half-open flow whose ACK does not match
 */

#define AGENTS    3
#define BALANCERS 2
#define LAST_VIEW 2
#define HOP_LIMIT 4
#define NONE      255

byte balancer_view[BALANCERS];
byte agent_view[AGENTS];
byte registered[AGENTS];     /* holder registered at each agent, or NONE */
bool half_open[AGENTS];      /* the agent sent a SYN-ACK */
byte holder = NONE;          /* agent with which the caller established the flow */
bool reset = false;          /* the caller received an RST */

#define settled \
	(balancer_view[0] == LAST_VIEW && balancer_view[1] == LAST_VIEW && \
	 agent_view[0] == LAST_VIEW && agent_view[1] == LAST_VIEW && agent_view[2] == LAST_VIEW)

/* Increments the views one step at a time, in any order. */
active proctype views()
{
	do
	:: balancer_view[0] < LAST_VIEW -> balancer_view[0]++
	:: balancer_view[1] < LAST_VIEW -> balancer_view[1]++
	:: agent_view[0] < LAST_VIEW -> agent_view[0]++
	:: agent_view[1] < LAST_VIEW -> agent_view[1]++
	:: agent_view[2] < LAST_VIEW -> agent_view[2]++
	:: settled -> break
	od
}

/* The holder registers with the owner in its view. */
active proctype registration()
{
	byte owner;
end:
	do
	:: atomic {
		holder != NONE && agent_view[holder] != holder &&
		registered[agent_view[holder]] != holder ->
#ifndef NO_REGISTRATION
			owner = agent_view[holder];
			registered[owner] = holder
#else
			owner = agent_view[holder];
			break
#endif
	   }
	od
}

/* The network delivers SYNs and packets of the flow to either balancer. */
active proctype network()
{
	byte balancer, agent, former, hops, acked, packets;
	bool syn, delivered, must_deliver;

	registered[0] = NONE; registered[1] = NONE; registered[2] = NONE;
	packets = 0;
	do
	:: packets == 4 || reset -> break
	:: else ->
		packets++;
		if
		:: balancer = 0
		:: balancer = 1
		fi;
		syn = (holder == NONE);
		/* A duplicate of the SYN may still be in flight. */
		if
		:: holder != NONE && packets < 3 -> syn = true
		:: true
		fi;
		/* The balancer's candidate list. */
		atomic {
			agent = balancer_view[balancer];
			former = (agent > 0 -> agent - 1 : agent);
#ifdef NO_REGISTRATION
			must_deliver = settled && holder != NONE
#else
			must_deliver = settled && holder != NONE &&
				(holder == LAST_VIEW || registered[LAST_VIEW] == holder)
#endif
		}
		if
		:: syn ->
			atomic {
				if
				:: registered[agent] != NONE || holder == agent -> skip
				:: else ->
					half_open[agent] = true;
					if
					:: holder == NONE -> holder = agent
					:: else -> skip
					fi
				fi
			}
		:: else ->
			hops = 0;
			delivered = false;
			do
			:: hops == HOP_LIMIT -> break
			:: else ->
				hops++;
				if
				:: agent == holder -> delivered = true; break
				:: agent != holder && half_open[agent] ->
					/* The ACK does not match the SYN-ACK of this agent. */
#ifdef RESET_HALF_OPEN
					reset = true; break
#else
					half_open[agent] = false
#endif
				:: agent != holder && !half_open[agent] ->
#ifdef RESET_UNKNOWN
					reset = true; break
#else
					skip
#endif
				fi;
				if
				:: registered[agent] != NONE && registered[agent] != agent -> agent = registered[agent]
				:: else ->
					if
					:: agent != former -> agent = former; 
					:: else -> agent = agent_view[agent]
					fi
				fi
			od;
			assert(hops <= HOP_LIMIT);
			assert(!must_deliver || delivered || reset)
		fi
	od;
	assert(!reset)
}
