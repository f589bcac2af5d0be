package spread

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/version/publish"
	"bergamotbank/version/spread/spreadpb"
)

// operatorTimeout bounds one call of an operator to a process.
const operatorTimeout = 2 * time.Second

// ProcessStatus tells which version a process runs.
type ProcessStatus struct {
	// Name identifies the process.
	Name string `json:"name"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// Control is its control address.
	Control string `json:"control"`
	// Version is the highest version learned.
	Version uint64 `json:"version"`
	// ActiveVersion is the version put in force.
	ActiveVersion uint64 `json:"in_force"`
	// Ready tells whether the process serves.
	Ready bool `json:"ready"`
	// Watching tells whether the process watches the store.
	Watching bool `json:"watching"`
	// Leaf tells whether the process is an agent.
	Leaf bool `json:"leaf"`
	// StoreAgeMillis is the age of the latest contact with the store that the
	// process knows of, in milliseconds; negative when it knows of none.
	StoreAgeMillis int64 `json:"store_age_ms"`
	// StatusAgeMillis is the age of this status, in milliseconds; 0 when the
	// process told it itself.
	StatusAgeMillis int64 `json:"status_age_ms"`
	// RejectedVersion is the latest version refused; 0 when there is none.
	RejectedVersion uint64 `json:"rejected_version,omitempty"`
	// RejectedReason tells why it was refused.
	RejectedReason string `json:"rejected_reason,omitempty"`
}

// Report is what one process tells an operator.
type Report struct {
	// Self is the process itself.
	Self ProcessStatus
	// Leaves are the agents that have asked it lately.
	Leaves []ProcessStatus
	// Peers are the processes that it takes for alive.
	Peers []Peer
}

// OperatorClient calls processes on behalf of an operator. It is safe for concurrent
// use.
type OperatorClient struct {
	http *http.Client
}

// NewOperatorClient returns an Operator.
func NewOperatorClient() *OperatorClient {
	return &OperatorClient{http: &http.Client{Timeout: operatorTimeout}}
}

func (o *OperatorClient) to(control netip.AddrPort) spreadpb.Spread {
	return spreadpb.NewSpreadProtobufClient("http://"+control.String(), o.http)
}

// Report asks a process for its status. Errors: PeerUnavailable.
func (o *OperatorClient) Report(ctx context.Context, control netip.AddrPort) (Report, error) {
	response, err := o.to(control).Status(ctx, &spreadpb.StatusRequest{})
	if err != nil {
		return Report{}, errkind.Wrap(err, errkind.PeerUnavailable, "status of %s", control)
	}
	report := Report{Self: statusFromWire(response.GetSelf())}
	for _, l := range response.GetLeaves() {
		report.Leaves = append(report.Leaves, statusFromWire(l))
	}
	for _, wire := range response.GetPeers() {
		if p, err := peerFromWire(wire); err == nil {
			report.Peers = append(report.Peers, p)
		}
	}
	return report, nil
}

// Offer hands an accepted version to a process, with the fresh texts first and
// with all texts when that process lacks others. Errors: PeerUnavailable.
func (o *OperatorClient) Offer(ctx context.Context, control netip.AddrPort, v publish.Version, fresh publish.Texts) error {
	if o.offer(ctx, control, v.Root, fresh) == nil {
		return nil
	}
	err := o.offer(ctx, control, v.Root, v.Texts)
	return errkind.Wrap(err, errkind.PeerUnavailable, "offer of version %d to %s", v.Root.Version, control)
}

func (o *OperatorClient) offer(ctx context.Context, control netip.AddrPort, root publish.Root, texts publish.Texts) error {
	request := &spreadpb.OfferRequest{Root: rootToWire(root)}
	for _, text := range texts {
		request.Texts = append(request.Texts, text)
	}
	_, err := o.to(control).Offer(ctx, request)
	return err
}

func statusFromWire(wire *spreadpb.ProcessStatus) ProcessStatus {
	return ProcessStatus{
		Name:            wire.GetPeer().GetName(),
		Domain:          wire.GetPeer().GetDomain(),
		Control:         wire.GetPeer().GetControl(),
		Version:         wire.GetVersion(),
		ActiveVersion:   wire.GetInForce(),
		Ready:           wire.GetReady(),
		Watching:        wire.GetWatching(),
		Leaf:            wire.GetLeaf(),
		StoreAgeMillis:  wire.GetStoreAgeMs(),
		StatusAgeMillis: wire.GetStatusAgeMs(),
		RejectedVersion: wire.GetRejectedVersion(),
		RejectedReason:  wire.GetRejectedReason(),
	}
}
