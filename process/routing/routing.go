// Package routing derives the inputs of the steering tables from the active
// configuration and the membership view. Balancers and agents share it, so that
// the same version and view give the same table in every process.
package routing

import (
	"bergamotbank/process/membership"
	"bergamotbank/version/config"
	"bergamotbank/version/steering"
)

// SteeringServer returns the steering input for an announced backend server. A
// draining server has weight 0: it keeps its flows and gets no new ones.
func SteeringServer(record membership.Record) steering.Server {
	weight := record.Weight
	if record.State == membership.Draining {
		weight = 0
	}
	return steering.Server{
		Name:        record.Server,
		Domain:      record.Domain,
		Addr:        record.Packet,
		Weight:      weight,
		Incarnation: record.Incarnation,
	}
}

// ServiceServers returns the steering inputs of one service, including the
// servers of failure domains that are out of service.
func ServiceServers(view membership.View, service string) []steering.Server {
	var servers []steering.Server
	for _, record := range view.Servers {
		if record.Service == service {
			servers = append(servers, SteeringServer(record))
		}
	}
	return servers
}

// ServersByService returns the steering inputs of every service, without the
// servers of failure domains that are out of service.
func ServersByService(view membership.View, c *config.Config) map[string][]steering.Server {
	servers := make(map[string][]steering.Server, len(c.Services))
	for _, record := range view.Servers {
		if !c.DomainOut(record.Domain) {
			servers[record.Service] = append(servers[record.Service], SteeringServer(record))
		}
	}
	return servers
}

// OutDomains returns the names of the failure domains that are out of service.
func OutDomains(c *config.Config) []string {
	var names []string
	for _, domain := range c.Domains {
		if domain.Out {
			names = append(names, domain.Name)
		}
	}
	return names
}
