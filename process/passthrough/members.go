package passthrough

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bergamotbank/connection/passthrough"
	"bergamotbank/process/roster"
)

const (
	// vmCheckTimeout limits the check of a member's VM: connections are accepted or refused
	// by its kernel within the round trip between failure domains.
	vmCheckTimeout = 250 * time.Millisecond
	// maxVMChecks limits the concurrent checks; it is enough for a lost failure domain.
	maxVMChecks = 64
)

// logMember logs a change of the status of a member.
func (n *node) logMember(m roster.Member, change string, sinceHeartbeat time.Duration) {
	n.logger.Info("member "+change, zap.String("member", m.Name), zap.Stringer("peer", m.Peer), zap.String("domain", m.Domain),
		zap.Uint64("run", m.Run), zap.Duration("silence", sinceHeartbeat))
}

// checkVM finds out in the background whether the VM of a member that does not answer is
// running: its kernel then accepts or refuses connections.
func (n *node) checkVM(peer passthrough.Endpoint) {
	select {
	case n.vmChecks <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-n.vmChecks }()
		state := checkVM(peer.AddrPort())
		n.mu.Lock()
		defer n.mu.Unlock()
		n.roster.HandleVMCheck(peer, state)
	}()
}

// checkVM reports whether a connection to an address is accepted or refused in time.
func checkVM(addr netip.AddrPort) roster.VMState {
	conn, err := net.DialTimeout("tcp", addr.String(), vmCheckTimeout)
	switch {
	case err == nil:
		_ = conn.Close()
		return roster.VMAccepts
	case errors.Is(err, syscall.ECONNREFUSED):
		return roster.VMRefuses
	}
	return roster.VMUnreachable
}

// logIsolation logs that no heartbeats of any member arrive, or that they do again.
func (n *node) logIsolation(isolated bool) {
	if isolated {
		n.logger.Warn("no heartbeats arrive; this process is probably cut off")
		return
	}
	n.logger.Info("heartbeats arrive again")
}
