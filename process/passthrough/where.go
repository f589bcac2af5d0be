package passthrough

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
)

const (
	// WherePath is the path at which a balancer tells where it would place a flow.
	WherePath = "/where"
	// WhereAddress is the parameter with the address to which the flow is opened.
	WhereAddress = "address"
	// WhereCaller is the parameter with the address and port of the caller. It may be omitted.
	WhereCaller = "caller"
)

// Where is the response of a balancer that was asked where a flow opened now would go.
type Where struct {
	// Balancer and Domain are the name and the failure domain of the balancer.
	Balancer string `json:"balancer"`
	Domain   string `json:"domain"`
	// Ready is false if the readiness probe of the fabric fails, so that no packets are
	// delivered to the balancer.
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
	Caller  string `json:"caller,omitempty"`
	// Era and Revision identify the active version, 0 for none; Version is the number that
	// operators gave it.
	Era        uint64         `json:"era"`
	Revision   uint64         `json:"revision"`
	Version    uint64         `json:"version"`
	OutDomains []string       `json:"domains_out"`
	Route      *WhereRoute    `json:"route,omitempty"`
	Refusal    *WhereRefusal  `json:"refusal,omitempty"`
	Services   []WhereService `json:"services"`
}

// WhereRoute is the route of the address.
type WhereRoute struct {
	Name string `json:"name"`
	// Idempotent is true for the route kinds safe and download, false for unsafe.
	Idempotent      bool  `json:"idempotent"`
	Priority        uint8 `json:"priority"`
	LatencyTargetMs int64 `json:"latency_target_ms"`
	TimeoutMs       int64 `json:"timeout_ms"`
}

// WhereRefusal is the reason for which a flow gets no server.
type WhereRefusal struct {
	// Kind is the error kind.
	Kind   string `json:"kind"`
	Reason string `json:"reason"`
	// CallerSees describes the response to the caller.
	CallerSees string `json:"caller_sees"`
}

// WhereService is the choice among the servers of a service.
type WhereService struct {
	Service string `json:"service"`
	// Share is the share of the service in the new flows of the route.
	Share float64 `json:"share"`
	// Basis is how the server is found: drawn, sampled, held or none.
	Basis string `json:"basis"`
	// Choice and RunnerUp are the names of the agents that get the opening packet first and
	// if the first one refuses it.
	Choice   string        `json:"choice,omitempty"`
	RunnerUp string        `json:"runner_up,omitempty"`
	Refusal  *WhereRefusal `json:"refusal,omitempty"`
	Servers  []WhereServer `json:"servers"`
}

// WhereServer is a server of the service as the balancer sees it.
type WhereServer struct {
	Agent  string `json:"agent"`
	Peer   string `json:"peer"`
	Domain string `json:"domain"`
	State  string `json:"state"`
	// Excluded is the reason for which it gets no new flows.
	Excluded string `json:"excluded,omitempty"`
	Slots    int    `json:"slots"`
	// Pending is the reported number of pending requests, nil if the report has none.
	Pending *int `json:"pending,omitempty"`
	// ExpectedPending is the number of requests that a new one is expected to wait for now.
	ExpectedPending float64 `json:"expected_pending"`
	// ServiceTimeMs is the reported service time, 0 if it is not known.
	ServiceTimeMs float64 `json:"service_time_ms"`
	// ExpectedCompletionMs is present if flows of the route are placed by it, otherwise Score.
	ExpectedCompletionMs *float64 `json:"expected_completion_ms,omitempty"`
	Score                *float64 `json:"score,omitempty"`
	// Compared is the value that decided, nil if the server was not compared in the choice:
	// the expected completion in ms with its random factor, or the score.
	Compared    *float64 `json:"compared,omitempty"`
	ReportAgeMs float64  `json:"report_age_ms"`
	Drawn       bool     `json:"drawn"`
}

// handler returns the handler of requests from other processes and operators.
func (b *Balancer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", b.peerHandler(nil))
	mux.HandleFunc("GET "+WherePath, b.serveWhere)
	return mux
}

// serveWhere responds where a flow opened now would go. It changes nothing.
func (b *Balancer) serveWhere(w http.ResponseWriter, r *http.Request) {
	address, err := ParseFlowEnd(r.FormValue(WhereAddress))
	if err != nil {
		http.Error(w, WhereAddress+": "+err.Error(), http.StatusBadRequest)
		return
	}
	var caller netip.AddrPort
	if text := r.FormValue(WhereCaller); text != "" {
		if caller, err = ParseFlowEnd(text); err != nil {
			http.Error(w, WhereCaller+": "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(b.where(address, caller)); err != nil {
		b.logger.Debug("cannot send a preview of a placement", zap.Error(err))
	}
}

// ParseFlowEnd parses the address and port of a caller or of a service.
func ParseFlowEnd(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return address, fmt.Errorf("%q is not IP:PORT", text)
	case !address.Addr().Is4() || address.Port() == 0:
		return address, fmt.Errorf("%q is not an IPv4 address with a port above 0", text)
	}
	return address, nil
}

// where returns where a flow opened now would go. An invalid caller stands for none.
func (b *Balancer) where(address, caller netip.AddrPort) Where {
	w := Where{
		Balancer: b.settings.Name, Domain: b.settings.Domain, Ready: b.ready(), Address: address.String(),
		OutDomains: []string{}, Services: []WhereService{},
	}
	var from passthrough.Endpoint
	if caller.IsValid() {
		w.Caller, from = caller.String(), passthrough.EndpointOf(caller)
	}
	b.mu.Lock()
	p := b.steer.Preview(passthrough.EndpointOf(address), from)
	b.mu.Unlock()
	if p.Version != nil {
		w.Era, w.Revision, w.Version = p.Version.Revision.Era, p.Version.Revision.Index, p.Version.Number
		for _, domain := range slices.Sorted(maps.Keys(p.Version.OutDomains)) {
			if p.Version.OutDomains[domain] {
				w.OutDomains = append(w.OutDomains, domain)
			}
		}
	}
	reason := "the route has no service with a weight above 0"
	switch {
	case p.Version == nil:
		reason = "the balancer has no configuration version yet"
	case p.Route == nil:
		reason = "the address has no route in the active version"
	}
	w.Refusal = refusalOf(p.Refusal, reason)
	if p.Route != nil {
		w.Route = &WhereRoute{
			Name: p.Route.Name, Idempotent: p.Route.Idempotent, Priority: p.Route.Priority,
			LatencyTargetMs: p.Route.LatencyTarget.Milliseconds(), TimeoutMs: p.Route.Timeout.Milliseconds(),
		}
	}
	for _, s := range p.Services {
		w.Services = append(w.Services, whereService(s))
	}
	return w
}

// refusalOf describes a refusal, nil for none.
func refusalOf(r *steer.Refusal, reason string) *WhereRefusal {
	if r == nil {
		return nil
	}
	sees := "no response"
	switch {
	case r.Reset && r.Copy == 0:
		sees = "a reset in response to its first packet"
	case r.Reset:
		sees = fmt.Sprintf("no response to its first packet, and a reset in response to retransmission %d unless a server becomes available before", r.Copy)
	}
	return &WhereRefusal{Kind: r.Kind.String(), Reason: reason, CallerSees: sees}
}

func whereService(s steer.ServicePreview) WhereService {
	w := WhereService{
		Service: s.Service, Share: s.Share, Basis: string(s.Basis), Servers: []WhereServer{},
		Refusal: refusalOf(s.Refusal, "no server of the service can receive new flows"),
	}
	for _, server := range s.Servers {
		switch server.Agent {
		case s.Choice:
			w.Choice = server.Name
		case s.RunnerUp:
			w.RunnerUp = server.Name
		}
		w.Servers = append(w.Servers, whereServer(server))
	}
	return w
}

func whereServer(s steer.ServerPreview) WhereServer {
	w := WhereServer{
		Agent: s.Name, Peer: s.Agent.String(), Domain: s.Domain, State: s.State.String(), Excluded: s.Excluded, Slots: s.Slots,
		ExpectedPending: s.ExpectedPending, ServiceTimeMs: milliseconds(s.ServiceTime), ReportAgeMs: milliseconds(s.ReportAge), Drawn: s.Drawn,
	}
	if s.HasLoad {
		w.Pending = &s.Pending
	}
	value := s.Value
	switch {
	case s.Excluded != "":
	case s.Completion > 0:
		completion := milliseconds(s.Completion)
		w.ExpectedCompletionMs = &completion
		value /= float64(time.Millisecond)
	default:
		w.Score = &s.Score
	}
	if s.Compared {
		w.Compared = &value
	}
	return w
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
