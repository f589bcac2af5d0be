package fleet

import (
	"fmt"
	"net/netip"
)

// balancerSettings returns the text of a balancer's settings file.
func balancerSettings(vm BalancerVM, store netip.AddrPort) string {
	return fmt.Sprintf(`name = %q
domain = %q
packet = %q
control = %q
store = %q
log_level = "debug"
`, vm.Name, vm.Domain, vm.Packet, vm.Control, store)
}

// agentSettings returns the text of an agent's settings file.
func agentSettings(vm ServerVM, store, fabric netip.AddrPort) string {
	return fmt.Sprintf(`name = %q
domain = %q
packet = %q
control = %q
store = %q
log_level = "debug"

[agent]
service = %q
server = %q
backend = %q
fabric = %q
source = %q
calls = %q
`, vm.AgentName(), vm.Domain, vm.Packet, vm.Control, store,
		vm.Service, vm.Name, vm.Backend, fabric, vm.Source, vm.Calls)
}
