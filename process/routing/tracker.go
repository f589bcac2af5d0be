package routing

import (
	"bergamotbank/process/membership"
	"bergamotbank/version/config"
	"bergamotbank/version/steering"
)

// Tracker keeps the steering inputs of every service and updates them
// incrementally: a new view recomputes the inputs of the services whose servers
// changed and keeps the slices of the others. It is not safe for concurrent use.
type Tracker struct {
	config *config.Config
	view   membership.View
	inputs map[string][]steering.Server
}

// Update applies a view and a configuration and returns the inputs by service,
// without the servers of failure domains that are out of service. The result
// must not be modified and is valid until the next call.
func (t *Tracker) Update(view membership.View, c *config.Config) map[string][]steering.Server {
	if c != t.config {
		t.inputs = ServersByService(view, c)
	} else {
		t.refresh(view, changedServices(t.view.Servers, view.Servers))
	}
	t.config = c
	t.view = view
	return t.inputs
}

// refresh recomputes the inputs of the changed services.
func (t *Tracker) refresh(view membership.View, changed map[string]bool) {
	if len(changed) == 0 {
		return
	}
	updated := make(map[string][]steering.Server, len(changed))
	for _, record := range view.Servers {
		if changed[record.Service] && !t.config.DomainOut(record.Domain) {
			updated[record.Service] = append(updated[record.Service], SteeringServer(record))
		}
	}
	for service := range changed {
		t.inputs[service] = updated[service]
	}
}

// changedServices returns the services of the records that differ between two
// views. Both lists must be sorted by server name.
func changedServices(previous, current []membership.Record) map[string]bool {
	changed := make(map[string]bool)
	i, j := 0, 0
	for i < len(previous) && j < len(current) {
		switch {
		case previous[i] == current[j]:
			i++
			j++
		case previous[i].Server < current[j].Server:
			changed[previous[i].Service] = true
			i++
		case previous[i].Server > current[j].Server:
			changed[current[j].Service] = true
			j++
		default:
			changed[previous[i].Service] = true
			changed[current[j].Service] = true
			i++
			j++
		}
	}
	for ; i < len(previous); i++ {
		changed[previous[i].Service] = true
	}
	for ; j < len(current); j++ {
		changed[current[j].Service] = true
	}
	return changed
}
