package passthrough

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owners maps each flow to the two agents that store its registration, by rendezvous
// hashing: the two with the highest weights for the flow. The mapping is the same in all
// processes with the same agents, and an agent that joins or leaves changes only the
// owners of its own flows. It is not safe for concurrent use.
type Owners struct {
	agents []owner
	// digest is the exclusive or of the mixed seeds of all agents.
	digest uint64
}

// owner is an agent with the hash of its name.
type owner struct {
	peer Endpoint
	seed uint64
}

// Add adds an agent with its unique name and its peer address. An agent at the same
// address is replaced.
func (o *Owners) Add(name string, peer Endpoint) {
	added := owner{peer: peer, seed: xxhash.Sum64String(name)}
	o.digest ^= mix(added.seed)
	if i := o.index(peer); i >= 0 {
		o.digest ^= mix(o.agents[i].seed)
		o.agents[i] = added
		return
	}
	o.agents = append(o.agents, added)
}

// Remove removes the agent at an address.
func (o *Owners) Remove(peer Endpoint) {
	if i := o.index(peer); i >= 0 {
		o.digest ^= mix(o.agents[i].seed)
		o.agents = slices.Delete(o.agents, i, i+1)
	}
}

// Digest returns a digest of the set of agents. Two processes with the same agents have the
// same digest.
func (o *Owners) Digest() ViewDigest { return ViewDigest(max(1, o.digest&tagMask)) }

func (o *Owners) index(peer Endpoint) int {
	return slices.IndexFunc(o.agents, func(a owner) bool { return a.peer == peer })
}

// Pair returns the two owners of a flow, the one with the higher weight first. Both are
// the same if there is only one agent, and 0 if there is none.
func (o *Owners) Pair(flow Flow) (first, second Endpoint) {
	hash := flow.Hash()
	var firstWeight, secondWeight uint64
	for _, agent := range o.agents {
		switch weight := mix(hash ^ agent.seed); {
		case first == 0 || weight > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = agent.peer, weight
		case second == 0 || weight > secondWeight:
			second, secondWeight = agent.peer, weight
		}
	}
	if second == 0 {
		second = first
	}
	return first, second
}

// mix returns a uniformly distributed function of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
