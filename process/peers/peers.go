// Package peers translates the balancers that membership knows for the spreading
// of versions.
package peers

import (
	"bergamotbank/process/membership"
	"bergamotbank/version/spread"
)

// ForSpread returns a balancer as the spreader names it.
func ForSpread(peer membership.Peer) spread.Peer {
	return spread.Peer{Name: peer.Name, Domain: peer.Domain, Control: peer.Control}
}

// AllForSpread returns a list of balancers as the spreader names them.
func AllForSpread(list []membership.Peer) []spread.Peer {
	named := make([]spread.Peer, 0, len(list))
	for _, peer := range list {
		named = append(named, ForSpread(peer))
	}
	return named
}
