package routing

import (
	"bergamotbank/process/membership"
	"bergamotbank/version/config"
	"bergamotbank/version/steering"
)

// Tracker keeps the steering inputs of every service. A new view costs work for
// the services whose servers have changed; the inputs of the others stay the
// same slices. It is not safe for concurrent use.
type Tracker struct {
	config *config.Config
	view   membership.View
	inputs map[string][]steering.Server
}

// Update takes a view and a configuration and returns the inputs by service,
// without the servers of failure domains that are out. The result must not be
// modified and is valid until the next call.
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

// refresh replaces the inputs of the changed services.
func (t *Tracker) refresh(view membership.View, changed map[string]bool) {
	if len(changed) == 0 {
		return
	}
	fresh := make(map[string][]steering.Server, len(changed))
	for _, record := range view.Servers {
		if changed[record.Service] && !t.config.DomainOut(record.Domain) {
			fresh[record.Service] = append(fresh[record.Service], SteeringServer(record))
		}
	}
	for service := range changed {
		t.inputs[service] = fresh[service]
	}
}

// changedServices returns the services of the records that only one of two
// views has. Both lists are sorted by the name of the server.
func changedServices(before, now []membership.Record) map[string]bool {
	changed := make(map[string]bool)
	i, j := 0, 0
	for i < len(before) && j < len(now) {
		switch {
		case before[i] == now[j]:
			i++
			j++
		case before[i].Server < now[j].Server:
			changed[before[i].Service] = true
			i++
		case before[i].Server > now[j].Server:
			changed[now[j].Service] = true
			j++
		default:
			changed[before[i].Service] = true
			changed[now[j].Service] = true
			i++
			j++
		}
	}
	for ; i < len(before); i++ {
		changed[before[i].Service] = true
	}
	for ; j < len(now); j++ {
		changed[now[j].Service] = true
	}
	return changed
}
