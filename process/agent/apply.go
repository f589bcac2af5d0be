package agent

import (
	"net/netip"

	"bergamotbank/event"
	"bergamotbank/process/membership"
	"bergamotbank/version/config"
)

// applySnapshot applies a configuration version at this agent. An agent whose
// service is no longer configured serves no address.
func (a *Agent) applySnapshot(snapshot config.Snapshot) {
	a.cluster.setConfig(snapshot.Config)
	var address netip.AddrPort
	service, ok := snapshot.Config.Service(a.settings.Agent.Service)
	if ok {
		address = service.AddrPort()
		a.gate.SetLimits(service.Slots, service.Connections, service.Timeout)
	}
	a.endpoint.SetService(address)
	a.setDomainOut(snapshot.Config.DomainOut(a.settings.Domain))
	a.endpoint.SetServers(a.cluster.steeringInputs())
	if !a.configured.Swap(true) {
		a.recorder.Record(event.Event{Kind: event.ProcessReady, Version: snapshot.Version})
	}
}

// setDomainOut suspends the agent while its failure domain is out of service. When
// the domain returns to service, the backend server starts cold again.
func (a *Agent) setDomainOut(out bool) {
	wasOut := a.domainOut.Swap(out)
	a.endpoint.SetSuspended(out)
	switch {
	case out && !wasOut:
		a.recorder.Record(event.Event{Kind: event.DomainOut})
	case wasOut && !out:
		a.gate.MarkCold()
		a.recorder.Record(event.Event{Kind: event.DomainIn})
	}
}

// applyView applies a new view of the backend servers.
func (a *Agent) applyView(view membership.View) {
	a.cluster.setView(view)
	a.endpoint.SetServers(a.cluster.steeringInputs())
}
