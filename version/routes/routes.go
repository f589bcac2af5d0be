// Package routes holds a configuration version of services whose flows pass
// through unchanged: which address leads to which services.
package routes

import (
	"net/netip"
	"time"
)

// Route leads from an address to services.
type Route struct {
	// Name is the operators' name of the route.
	Name string
	// Targets are the services that take new flows, with weights above 0.
	Targets []Target
}

// Target is a service with its share of a route's new flows.
type Target struct {
	Service string
	Weight  uint32
}

// Pick returns the service that takes the flow with the given hash. It is equal
// in all processes with the same version.
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

// HasTarget tells whether the route leads to a service.
func (r *Route) HasTarget(service string) bool {
	for _, target := range r.Targets {
		if target.Service == service && target.Weight > 0 {
			return true
		}
	}
	return false
}

// Service is what operators say of a service.
type Service struct {
	// HealthPath is the path of the liveness check.
	HealthPath string
	// MaxConnections is the number of flows that one backend server holds, 0 for
	// no limit.
	MaxConnections int
	// ColdRate is the number of new flows a second that a cold server bears.
	ColdRate float64
}

// Version is one state of what operators have ordered. It is immutable.
type Version struct {
	// Revision orders versions; the store assigns it.
	Revision uint64
	// Number is the operators' own number of the configuration.
	Number uint64
	// Routes are the routes by address.
	Routes map[netip.AddrPort]*Route
	// Services are the services by name.
	Services map[string]Service
	// OutDomains are the failure domains that operators have taken out.
	OutDomains map[string]bool
	// IdleTimeout is how long an idle flow is kept.
	IdleTimeout time.Duration
}

// Route returns the route of an address, nil when there is none.
func (v *Version) Route(addr netip.AddrPort) *Route { return v.Routes[addr] }
