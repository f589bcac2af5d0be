package agent

import (
	"net/netip"

	"bergamotbank/event"
	"bergamotbank/process/membership"
	"bergamotbank/version/config"
)

// applySnapshot puts a configuration version in force at this agent. An agent
// whose service is no longer configured serves no address.
func (a *Agent) applySnapshot(snapshot config.Snapshot) {
	a.world.setConfig(snapshot.Config)
	var address netip.AddrPort
	service, ok := snapshot.Config.Service(a.settings.Agent.Service)
	if ok {
		address = service.AddrPort()
		a.gate.SetLimits(service.Slots, service.Connections, service.Timeout)
	}
	a.endpoint.SetService(address)
	a.setOut(snapshot.Config.DomainOut(a.settings.Domain))
	a.endpoint.SetServers(a.world.routes())
	if !a.configured.Swap(true) {
		a.recorder.Record(event.Event{Kind: event.ProcessReady, Version: snapshot.Version})
	}
}

// setOut suspends the agent while its failure domain is out. On return its
// backend server counts as cold.
func (a *Agent) setOut(out bool) {
	wasOut := a.out.Swap(out)
	a.endpoint.SetSuspended(out)
	switch {
	case out && !wasOut:
		a.recorder.Record(event.Event{Kind: event.DomainOut})
	case wasOut && !out:
		a.gate.Chill()
		a.recorder.Record(event.Event{Kind: event.DomainIn})
	}
}

// applyView takes a new view of the service's backend servers.
func (a *Agent) applyView(view membership.View) {
	a.world.setView(view)
	a.endpoint.SetServers(a.world.routes())
}
