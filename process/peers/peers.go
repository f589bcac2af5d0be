// Package peers converts balancers of package membership to those of package spread,
// which distributes configuration versions.
package peers

import (
	"bergamotbank/process/membership"
	"bergamotbank/version/spread"
)

// ForSpread converts a balancer to a spread.Peer.
func ForSpread(peer membership.Peer) spread.Peer {
	return spread.Peer{Name: peer.Name, Domain: peer.Domain, Control: peer.Control}
}

// AllForSpread converts a list of balancers to spread.Peers.
func AllForSpread(list []membership.Peer) []spread.Peer {
	converted := make([]spread.Peer, 0, len(list))
	for _, peer := range list {
		converted = append(converted, ForSpread(peer))
	}
	return converted
}
