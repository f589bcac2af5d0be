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

// operatorTimeout is the timeout of a call to a process.
const operatorTimeout = 2 * time.Second

// ProcessStatus is the state of a process with regard to versions.
type ProcessStatus struct {
	// Name identifies the process.
	Name string `json:"name"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// Control is its control address.
	Control string `json:"control"`
	// Version is the highest version received.
	Version uint64 `json:"version"`
	// ActiveVersion is the active version.
	ActiveVersion uint64 `json:"in_force"`
	// Ready is true if the process is ready to serve.
	Ready bool `json:"ready"`
	// Watching is true if the process watches the store.
	Watching bool `json:"watching"`
	// Leaf is true if the process is an agent.
	Leaf bool `json:"leaf"`
	// StoreAgeMillis is the age of the latest contact with the store that the
	// process knows of, in milliseconds; negative if it knows of none.
	StoreAgeMillis int64 `json:"store_age_ms"`
	// StatusAgeMillis is the age of this status, in milliseconds; 0 if the process
	// itself reported it.
	StatusAgeMillis int64 `json:"status_age_ms"`
	// RejectedVersion is the latest version rejected, or 0 if there is none.
	RejectedVersion uint64 `json:"rejected_version,omitempty"`
	// RejectedReason is the reason of the rejection.
	RejectedReason string `json:"rejected_reason,omitempty"`
}

// Report is the status of a process and of the processes that it knows.
type Report struct {
	// Self is the status of the process itself.
	Self ProcessStatus
	// Leaves are the agents that have queried it recently.
	Leaves []ProcessStatus
	// Peers are the processes that it considers alive.
	Peers []Peer
}

// OperatorClient calls processes on behalf of an operator. It is safe for
// concurrent use.
type OperatorClient struct {
	http *http.Client
}

// NewOperatorClient returns an OperatorClient.
func NewOperatorClient() *OperatorClient {
	return &OperatorClient{http: &http.Client{Timeout: operatorTimeout}}
}

func (o *OperatorClient) stub(control netip.AddrPort) spreadpb.Spread {
	return spreadpb.NewSpreadProtobufClient("http://"+control.String(), o.http)
}

// Report fetches the status of a process. Errors: PeerUnavailable.
func (o *OperatorClient) Report(ctx context.Context, control netip.AddrPort) (Report, error) {
	response, err := o.stub(control).Status(ctx, &spreadpb.StatusRequest{})
	if err != nil {
		return Report{}, errkind.Wrap(err, errkind.PeerUnavailable, "fetch the status of %s", control)
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

// Offer sends an accepted version to a process. It first sends only newTexts; if that
// fails, as when the process lacks other texts, it sends all. Errors: PeerUnavailable.
func (o *OperatorClient) Offer(ctx context.Context, control netip.AddrPort, v publish.Version, newTexts publish.Texts) error {
	if o.offer(ctx, control, v.Root, newTexts) == nil {
		return nil
	}
	err := o.offer(ctx, control, v.Root, v.Texts)
	return errkind.Wrap(err, errkind.PeerUnavailable, "offer version %d to %s", v.Root.Version, control)
}

func (o *OperatorClient) offer(ctx context.Context, control netip.AddrPort, root publish.Root, texts publish.Texts) error {
	request := &spreadpb.OfferRequest{Root: rootToWire(root)}
	for _, text := range texts {
		request.Texts = append(request.Texts, text)
	}
	_, err := o.stub(control).Offer(ctx, request)
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
