// Package settings reads and validates the static settings of a process: its
// identity, its listen addresses and the addresses of external systems. What all
// processes share is configuration; see package version/config.
package settings

import (
	"net/netip"
	"time"
)

// Role is the role in which a process runs.
type Role string

// The roles of the daemon.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
	// The roles of a passthrough deployment, which forwards flows without terminating
	// them.
	RolePassthroughBalancer Role = "passthrough-balancer"
	RolePassthroughAgent    Role = "passthrough-agent"
)

// isPassthrough reports whether the role forwards flows without terminating them.
func (r Role) isPassthrough() bool {
	return r == RolePassthroughBalancer || r == RolePassthroughAgent
}

// Settings are the static settings of one process. The doc tag of a field is
// its entry in docs/SETTINGS.md.
type Settings struct {
	// Name is the unique name of the process.
	Name string `toml:"name" doc:"unique name of the process" required:"all"`
	// Domain is the failure domain the process runs in.
	Domain string `toml:"domain" doc:"failure domain of the VM" required:"all"`
	// Packet is the UDP address that receives callers' packets.
	Packet netip.AddrPort `toml:"packet" doc:"UDP address for callers' packets" required:"all"`
	// Control is the TCP and UDP address for control messages.
	Control netip.AddrPort `toml:"control" doc:"address for control messages, TCP and UDP" required:"all"`
	// Store is the address of the platform's key-value service.
	Store netip.AddrPort `toml:"store" doc:"address of the platform's key-value service" required:"balancer passthrough"`
	// Seeds are control addresses of balancers to contact first.
	Seeds []netip.AddrPort `toml:"seeds" doc:"control addresses of balancers to contact first; may be empty when the store is set"`
	// LogLevel is the minimum level of log entries.
	LogLevel string `toml:"log_level" doc:"debug, info, warn or error" default:"info"`
	// TimelineEvents is the number of events kept in the timeline.
	TimelineEvents int `toml:"timeline_events" doc:"number of events kept in the timeline, 16 to 65536" default:"4096"`
	// Balancer holds the settings of a balancer.
	Balancer Balancer `toml:"balancer"`
	// Agent holds the settings of an agent.
	Agent Agent `toml:"agent"`
	// Passthrough holds the settings of the passthrough roles.
	Passthrough Passthrough `toml:"passthrough"`
}

// Passthrough are the settings of the roles that forward flows without terminating
// them.
type Passthrough struct {
	// Peer is the address for datagrams and HTTP requests between processes.
	Peer netip.AddrPort `toml:"peer" doc:"address for datagrams and HTTP requests between processes, UDP and TCP" required:"passthrough"`
	// Announce is the address that other processes use instead of Peer. A process behind
	// address translation or a port forwarder binds another address than the one at which
	// it is reached.
	Announce netip.AddrPort `toml:"announce" doc:"peer address that other processes use, if it differs from the bound one; empty: passthrough.peer"`
	// Readiness is the address that serves readiness probes.
	Readiness netip.AddrPort `toml:"readiness" doc:"TCP address that serves readiness probes of the fabric" required:"passthrough"`
	// Domains are all failure domains of the deployment.
	Domains []string `toml:"domains" doc:"names of all failure domains of the deployment" required:"passthrough"`
	// Metrics is the address that serves metrics.
	Metrics netip.AddrPort `toml:"metrics" doc:"TCP address that serves metrics at /debug/vars" required:"passthrough"`
	// Outbound is the address to which the backend server sends its packets.
	Outbound netip.AddrPort `toml:"outbound" doc:"UDP address to which the backend server sends its packets" required:"passthrough-agent"`
	// Backend is the address of the backend server for packets and connections.
	Backend netip.AddrPort `toml:"backend" doc:"address of the backend server, UDP for packets and TCP for liveness" required:"passthrough-agent"`
	// Heartbeat is the interval between the backend server's heartbeats.
	Heartbeat Duration `toml:"heartbeat" doc:"interval between the backend server's heartbeats" default:"1200ms"`
	// FlowLifetime is the age at which a flow may be removed.
	FlowLifetime Duration `toml:"flow_lifetime" doc:"age at which a flow may be removed" default:"60s"`
	// LeaseMinimum is the shortest lease that the store grants.
	LeaseMinimum Duration `toml:"lease_minimum" doc:"shortest lease that the store grants" default:"1s"`
	// HedgeLimit is the share of the openings of a service for which a balancer may send a
	// second opening packet.
	HedgeLimit float64 `toml:"hedge_limit" doc:"share of the openings of a service for which a second opening packet may go to another server, 0 to 1; 0: none" default:"0"`
}

// AnnouncedPeer returns the address at which other processes reach this one.
func (p Passthrough) AnnouncedPeer() netip.AddrPort {
	if p.Announce.IsValid() {
		return p.Announce
	}
	return p.Peer
}

// Balancer are the settings of a balancer.
type Balancer struct {
	// SourcePorts is the number of UDP source ports in rotation for packets to agents.
	SourcePorts int `toml:"source_ports" doc:"number of UDP source ports in rotation for packets to agents, 1 to 64" default:"4"`
	// StopGrace is how long a balancer continues to forward after it begins to stop.
	StopGrace Duration `toml:"stop_grace" doc:"time for which a stopping balancer continues to forward, so that the fabric can detect that it is not ready" default:"3s"`
}

// Agent are the settings of an agent.
type Agent struct {
	// Service is the name of the service of the backend server.
	Service string `toml:"service" doc:"service of the backend server" required:"agent passthrough-agent"`
	// Server is the unique name of the backend server.
	Server string `toml:"server" doc:"unique name of the backend server" required:"agent"`
	// Backend is the address of the backend server.
	Backend netip.AddrPort `toml:"backend" doc:"TCP address of the backend server" required:"agent"`
	// Fabric is the UDP address of the fabric for packets to callers.
	Fabric netip.AddrPort `toml:"fabric" doc:"UDP address of the fabric for packets to callers" required:"agent"`
	// Source is the inner source address of calls to other services.
	Source netip.Addr `toml:"source" doc:"inner source address of calls to other services; empty: no such calls"`
	// Calls is the address of the HTTP proxy through which the backend server calls
	// other services.
	Calls netip.AddrPort `toml:"calls" doc:"address of the HTTP proxy for calls of the backend server to other services; empty: none"`
	// StopTimeout is the maximum time that a stopping agent waits for open flows.
	StopTimeout Duration `toml:"stop_timeout" doc:"maximum time that a stopping agent waits for open requests and streams" default:"1h"`
}

// Duration is a time.Duration that is written like "3s" in a settings file.
type Duration time.Duration

// UnmarshalText parses a duration such as "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(value)
	return nil
}

// MarshalText formats the duration in the form that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}
