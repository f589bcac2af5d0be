// Package routes provides the configuration of services in passthrough mode, whose
// flows are forwarded unmodified: the routes from addresses to services.
package routes

import (
	"net/netip"
	"time"
)

// Route distributes the new flows of an address among services.
type Route struct {
	// Name is the name of the route in the configuration.
	Name string
	// Targets are the services that receive new flows, with weights above 0.
	Targets []Target
	// Idempotent is true if callers may repeat the requests of the route.
	Idempotent bool
	// Priority is the rank of the route when there is too little room; 0 is the highest.
	Priority uint8
	// LatencyTarget is the time within which a response has its full value, 0 if none is set.
	LatencyTarget time.Duration
	// Timeout is the limit of a request, 0 for none.
	Timeout time.Duration
}

// Target is a service with its relative share of the new flows of a route.
type Target struct {
	Service string
	Weight  uint32
}

// Pick returns the service for the flow with the given hash, in proportion to the
// weights. All processes with the same version pick the same service. It returns
// the empty string if the route has no targets.
func (r *Route) Pick(hash uint64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	var total uint64
	for _, target := range r.Targets {
		total += uint64(target.Weight)
	}
	if total == 0 {
		return ""
	}
	point := (hash >> 16) % total
	for _, target := range r.Targets {
		if point < uint64(target.Weight) {
			return target.Service
		}
		point -= uint64(target.Weight)
	}
	return ""
}

// HasTarget reports whether the service is a target with a weight above 0.
func (r *Route) HasTarget(service string) bool {
	for _, target := range r.Targets {
		if target.Service == service && target.Weight > 0 {
			return true
		}
	}
	return false
}

// Service is the configuration of a service.
type Service struct {
	// HealthPath is the path of the liveness check.
	HealthPath string
	// MaxConnections is the largest number of flows of one backend server; 0 means
	// no limit.
	MaxConnections int
	// ColdRate is the number of new flows per second that a backend server can
	// accept while it is cold.
	ColdRate float64
}

// Version is one version of the operator configuration. It is immutable.
type Version struct {
	// Revision increases with each version.
	Revision Revision
	// Held is a digest of the entries of earlier eras that the store has lost and that are
	// part of the version, 0 for none.
	Held uint16
	// Number is the version number that operators gave to the configuration.
	Number uint64
	// Routes maps addresses to routes.
	Routes map[netip.AddrPort]*Route
	// Services maps names to services.
	Services map[string]Service
	// OutDomains is the set of failure domains that operators have taken out of
	// service.
	OutDomains map[string]bool
	// IdleTimeout is the time after which an idle flow expires.
	IdleTimeout time.Duration
}

// Route returns the route of an address, or nil if there is none.
func (v *Version) Route(addr netip.AddrPort) *Route { return v.Routes[addr] }
