package agent

import (
	"sync"

	"bergamotbank/process/membership"
	"bergamotbank/process/routing"
	"bergamotbank/process/settings"
	"bergamotbank/request/admission"
	"bergamotbank/request/limit"
	"bergamotbank/version/config"
	"bergamotbank/version/steering"
)

// clusterState holds the active configuration and the announced backend servers of
// the agent's own service and of the services that it depends on. It is safe for
// concurrent use.
type clusterState struct {
	service string
	server  string

	mu      sync.Mutex
	config  *config.Config
	view    membership.View
	hasView bool
}

func newClusterState(s settings.Settings) *clusterState {
	return &clusterState{service: s.Agent.Service, server: s.Agent.Server, config: &config.Config{}}
}

func (s *clusterState) setConfig(c *config.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = c
}

func (s *clusterState) setView(view membership.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = view
	s.hasView = true
}

// dependsOn returns the names of the services that the agent's service depends on.
func (s *clusterState) dependsOn() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	service, _ := s.config.Service(s.service)
	return service.DependsOn
}

// dependency returns the named service if the agent's service depends on it.
func (s *clusterState) dependency(name string) (config.Service, bool) {
	for _, dependencyName := range s.dependsOn() {
		if dependencyName != name {
			continue
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.config.Service(name)
	}
	return config.Service{}, false
}

// dependencyHealthy reports whether every service that the agent's service depends
// on has a backend server that accepts new flows; if not, it names one that has
// none.
func (s *clusterState) dependencyHealthy() (missing string, ok bool) {
	for _, name := range s.dependsOn() {
		if !s.hasServer(name) {
			return name, false
		}
	}
	return "", true
}

func (s *clusterState) hasServer(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range s.view.Servers {
		if record.Service == service && record.State != membership.Draining && !s.config.DomainOut(record.Domain) {
			return true
		}
	}
	return false
}

// steeringInputs returns the inputs of the steering table of the agent's service
// and the failure domains that are out of service.
func (s *clusterState) steeringInputs() (servers []steering.Server, outDomains []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return routing.ServiceServers(s.view, s.service), routing.OutDomains(s.config)
}

// siblings returns the other agents of the same service, or nil before the first
// view. Agents of a failure domain that is out of service count as draining.
func (s *clusterState) siblings() []admission.Sibling {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasView {
		return nil
	}
	siblings := []admission.Sibling{}
	for _, record := range s.view.Servers {
		if record.Service != s.service || record.Server == s.server {
			continue
		}
		state := limit.State(record.State)
		if s.config.DomainOut(record.Domain) {
			state = limit.Draining
		}
		siblings = append(siblings, admission.Sibling{
			Server:  record.Server,
			Control: record.Control,
			State:   state,
			Weight:  record.Weight,
		})
	}
	return siblings
}

// ownService returns the configuration of the agent's service, or false if none is
// known.
func (s *clusterState) ownService() (config.Service, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Service(s.service)
}
