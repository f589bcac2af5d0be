package balancer

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"go.uber.org/zap"

	"bergamotbank/process/control"
	"bergamotbank/process/membership"
)

// ServerEntry describes one backend server of the view.
type ServerEntry struct {
	// Server is the name of the backend server.
	Server string `json:"server"`
	// Service is the service it announces.
	Service string `json:"service"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// Control is the control address of its agent.
	Control netip.AddrPort `json:"control"`
	// State is its announced state.
	State string `json:"state"`
	// Weight is its share of new flows, in percent of a server at full weight.
	Weight uint16 `json:"weight"`
}

// listServers writes the backend servers of the view as JSON.
func (b *Balancer) listServers(w http.ResponseWriter, r *http.Request) {
	entries := serverEntries(b.node.View(), r.URL.Query().Get(control.ServerParameter))
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(entries); err != nil {
		b.logger.Warn("failed to write the list of backend servers", zap.Error(err))
	}
}

// serverEntries returns the server with the given name, or every server when name
// is empty.
func serverEntries(view membership.View, name string) []ServerEntry {
	entries := []ServerEntry{}
	for _, record := range view.Servers {
		if name != "" && record.Server != name {
			continue
		}
		entries = append(entries, ServerEntry{
			Server:  record.Server,
			Service: record.Service,
			Domain:  record.Domain,
			Control: record.Control,
			State:   record.State.String(),
			Weight:  record.Weight,
		})
	}
	return entries
}
