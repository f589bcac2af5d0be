package admission

import "net/http"

const (
	// controlPrefix is the path prefix of the endpoints used between the agents of a
	// service.
	controlPrefix = "/request/"
	// handOffPath is the path of a request that is handed off.
	handOffPath = controlPrefix + "handoff"
	// ledgerPrefix is the path prefix of the ledger's RPCs.
	ledgerPrefix = controlPrefix + "ledger"
)

// Handler returns the path prefix and the handler of the endpoints that siblings
// use on the control address.
func (g *Gate) Handler() (prefix string, handler http.Handler) {
	mux := http.NewServeMux()
	mux.HandleFunc(handOffPath, g.serveHandOff)
	mux.Handle(ledgerPrefix+"/", g.ledgerNode.Handler())
	return controlPrefix, mux
}
