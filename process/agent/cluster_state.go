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

// world is what the agent knows about the others: the configuration in force
// and the announced backend servers of its own service and of the services that
// it depends on. It is safe for concurrent use.
type world struct {
	service string
	server  string

	mu     sync.Mutex
	config *config.Config
	view   membership.View
	viewed bool
}

func newWorld(s settings.Settings) *world {
	return &world{service: s.Agent.Service, server: s.Agent.Server, config: &config.Config{}}
}

func (w *world) setConfig(c *config.Config) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config = c
}

func (w *world) setView(view membership.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view = view
	w.viewed = true
}

// dependsOn returns the names of the services that the own service depends on.
func (w *world) dependsOn() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	service, _ := w.config.Service(w.service)
	return service.DependsOn
}

// callable returns the service named name when the own service depends on it.
func (w *world) callable(name string) (config.Service, bool) {
	for _, dependency := range w.dependsOn() {
		if dependency != name {
			continue
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.config.Service(name)
	}
	return config.Service{}, false
}

// dependencyHealthy tells whether every service that the own service depends on
// has a backend server that takes new work, and names one that has none.
func (w *world) dependencyHealthy() (missing string, ok bool) {
	for _, name := range w.dependsOn() {
		if !w.hasServer(name) {
			return name, false
		}
	}
	return "", true
}

func (w *world) hasServer(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, record := range w.view.Servers {
		if record.Service == service && record.State != membership.Draining && !w.config.DomainOut(record.Domain) {
			return true
		}
	}
	return false
}

// routes returns the inputs of the own service's steering table and the failure
// domains that are out.
func (w *world) routes() (servers []steering.Server, outDomains []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return routing.ServiceServers(w.view, w.service), routing.OutDomains(w.config)
}

// siblings returns the other agents of the own service, nil while no view is
// known. Agents of a failure domain that is out count as draining.
func (w *world) siblings() []admission.Sibling {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.viewed {
		return nil
	}
	siblings := []admission.Sibling{}
	for _, record := range w.view.Servers {
		if record.Service != w.service || record.Server == w.server {
			continue
		}
		state := limit.State(record.State)
		if w.config.DomainOut(record.Domain) {
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

// ownService returns the configuration of the own service once it is known.
func (w *world) ownService() (config.Service, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config.Service(w.service)
}
