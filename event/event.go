// Package event defines the events that the components of bergamotbank record in
// the timeline. It is a leaf package, so that every layer can record events
// without depending on the recorder.
package event

// Kind is one entry of the closed list of event kinds.
type Kind string

// The closed list of event kinds.
const (
	ProcessStarted   Kind = "process_started"
	ProcessReady     Kind = "process_ready"
	ProcessStopping  Kind = "process_stopping"
	VersionLearned   Kind = "version_learned"
	VersionInForce   Kind = "version_in_force"
	VersionRejected  Kind = "version_rejected"
	StoreUnreachable Kind = "store_unreachable"
	StoreReachable   Kind = "store_reachable"
	ViewChanged      Kind = "view_changed"
	ServerAnnounced  Kind = "server_announced"
	ServerSilent     Kind = "server_silent"
	ServerGone       Kind = "server_gone"
	PeerSilent       Kind = "peer_silent"
	PeerBack         Kind = "peer_back"
	MassSilence      Kind = "mass_silence"
	StateChanged     Kind = "state_changed"
	TableChanged     Kind = "table_changed"
	FlowsRegistered  Kind = "flows_registered"
	FlowsGivenUp     Kind = "flows_given_up"
	DomainOut        Kind = "domain_out"
	DomainIn         Kind = "domain_in"
	DrainStarted     Kind = "drain_started"
	DrainFinished    Kind = "drain_finished"
	LimitChanged     Kind = "limit_changed"
	BackendCold      Kind = "backend_cold"
	RequestRefused   Kind = "request_refused"
	RequestHandedOff Kind = "request_handed_off"
	RequestUnknown   Kind = "request_unknown"
	RequestRepeated  Kind = "request_repeated"
	PacketsDropped   Kind = "packets_dropped"
	ConnectionSilent Kind = "connection_silent"
)

// Event is one entry of the timeline. Fields that do not apply are empty.
type Event struct {
	// Kind is the kind of event.
	Kind Kind
	// Service is the name of the affected service.
	Service string
	// Server is the name of the affected backend server.
	Server string
	// Domain is the affected failure domain.
	Domain string
	// Peer is the name of the other process involved.
	Peer string
	// Request is the ID of the affected request.
	Request string
	// Version is the configuration version.
	Version uint64
	// Count is the number of affected items, such as flows or packets.
	Count uint64
	// Detail is a short human-readable description.
	Detail string
}

// Recorder records events. Record must not block and must be safe for concurrent
// use.
type Recorder interface {
	Record(Event)
}

// Discard is a Recorder that drops every event.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(Event) {}
