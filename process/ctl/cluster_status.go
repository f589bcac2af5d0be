package ctl

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/process/membership"
	"bergamotbank/version/spread"
)

// maxConcurrentCalls is the maximum number of processes queried concurrently.
const maxConcurrentCalls = 32

// reportTimeout is the timeout for the response of one process.
const reportTimeout = 2 * time.Second

// Missing is a process that does not respond.
type Missing struct {
	// Name identifies the process; empty if only its address is known.
	Name string `json:"name"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// Control is its control address.
	Control string `json:"control"`
	// Reason is the error of the query.
	Reason string `json:"reason"`
}

// clusterStatus holds the statuses reported by the processes of a deployment.
type clusterStatus struct {
	processes []spread.ProcessStatus
	missing   []Missing
	// directoryErr is the error of reading the directory in the store, or nil.
	directoryErr error
}

// highestVersion returns the highest version known to any process.
func (s clusterStatus) highestVersion() uint64 {
	var highest uint64
	for _, p := range s.processes {
		highest = max(highest, p.Version)
	}
	return highest
}

// behind returns the processes on which a version is not active yet.
func (s clusterStatus) behind(version uint64) []spread.ProcessStatus {
	var behind []spread.ProcessStatus
	for _, p := range s.processes {
		if p.ActiveVersion < version {
			behind = append(behind, p)
		}
	}
	return behind
}

// directoryRecord is the stored record of a balancer in the directory.
type directoryRecord struct {
	Name    string `json:"name"`
	Control string `json:"control"`
}

// directory reads the balancers from the directory in the store.
func (c *command) directory(ctx context.Context) ([]spread.Peer, error) {
	entries, err := c.store.List(ctx, membership.DirectoryPrefix)
	if err != nil {
		return nil, err
	}
	var peers []spread.Peer
	for _, entry := range entries {
		var listed []directoryRecord
		if err := json.Unmarshal(entry.Value, &listed); err != nil {
			return peers, errkind.Wrap(err, errkind.Malformed, "directory %s", entry.Key)
		}
		for _, e := range listed {
			control, err := netip.ParseAddrPort(e.Control)
			if err != nil {
				return peers, errkind.Wrap(err, errkind.Malformed, "directory %s: %s", entry.Key, e.Name)
			}
			domain := strings.TrimPrefix(entry.Key, membership.DirectoryPrefix)
			peers = append(peers, spread.Peer{Name: e.Name, Domain: domain, Control: control})
		}
	}
	return peers, nil
}

// seeds are the balancers that are queried first.
type seeds struct {
	peers []spread.Peer
	// directoryErr is the error of reading the directory in the store, or nil.
	directoryErr error
}

// findSeeds returns the balancers from the directory and the command line.
func (c *command) findSeeds(ctx context.Context) seeds {
	peers, err := c.directory(ctx)
	for _, control := range c.balancers {
		peers = append(peers, spread.Peer{Control: control})
	}
	return seeds{peers: peers, directoryErr: err}
}

// collectStatus queries the status of the seeds and, transitively, of the peers that
// they report.
func (c *command) collectStatus(ctx context.Context, from seeds) clusterStatus {
	cluster := clusterStatus{processes: []spread.ProcessStatus{}, missing: []Missing{}, directoryErr: from.directoryErr}
	peers := from.peers
	queried := make(map[netip.AddrPort]bool)
	for len(peers) > 0 {
		reports := c.queryPeers(ctx, peers, queried)
		peers = nil
		for _, r := range reports {
			cluster.add(r)
			peers = append(peers, r.report.Peers...)
		}
	}
	cluster.sort()
	return cluster
}

// peerReport is the report of a process, or the error of the query.
type peerReport struct {
	peer   spread.Peer
	report spread.Report
	err    error
}

// queryPeers queries the peers that are not in queried yet, and adds them to it.
func (c *command) queryPeers(ctx context.Context, peers []spread.Peer, queried map[netip.AddrPort]bool) []peerReport {
	var pending []spread.Peer
	for _, p := range peers {
		if !queried[p.Control] {
			queried[p.Control] = true
			pending = append(pending, p)
		}
	}
	reports := make([]peerReport, len(pending))
	slots := make(chan struct{}, maxConcurrentCalls)
	var calls sync.WaitGroup
	for i, p := range pending {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			report, err := c.operator.Report(callCtx, p.Control)
			reports[i] = peerReport{peer: p, report: report, err: err}
		})
	}
	calls.Wait()
	return reports
}

func (s *clusterStatus) add(r peerReport) {
	if r.err != nil {
		s.missing = append(s.missing, Missing{
			Name: r.peer.Name, Domain: r.peer.Domain, Control: r.peer.Control.String(), Reason: r.err.Error(),
		})
		return
	}
	s.merge(r.report.Self)
	for _, leaf := range r.report.Leaves {
		s.merge(leaf)
	}
}

// merge adds the status of a process, or replaces an older status of the same
// process.
func (s *clusterStatus) merge(p spread.ProcessStatus) {
	for i, known := range s.processes {
		if known.Name != p.Name || known.Control != p.Control {
			continue
		}
		if p.StatusAgeMillis < known.StatusAgeMillis {
			s.processes[i] = p
		}
		return
	}
	s.processes = append(s.processes, p)
}

func (s *clusterStatus) sort() {
	slices.SortFunc(s.processes, func(a, b spread.ProcessStatus) int {
		return strings.Compare(a.Domain+"\x00"+a.Name, b.Domain+"\x00"+b.Name)
	})
	slices.SortFunc(s.missing, func(a, b Missing) int {
		return strings.Compare(a.Domain+"\x00"+a.Name, b.Domain+"\x00"+b.Name)
	})
}

// checkComplete returns an error if processes are missing or unknown processes may
// exist.
func (s clusterStatus) checkComplete() error {
	if len(s.processes) == 0 && len(s.missing) == 0 {
		if s.directoryErr != nil {
			return errkind.Wrap(s.directoryErr, errkind.Of(s.directoryErr), "no balancer is known: specify one with --balancer")
		}
		return errkind.New(errkind.NotFound, "no balancer is known: the directory in the store is empty")
	}
	var names []string
	for _, m := range s.missing {
		names = append(names, strings.TrimSpace(m.Name+" "+m.Control))
	}
	if len(names) > 0 {
		return errkind.New(errkind.Partial, "%d processes do not respond: %s", len(names), strings.Join(names, ", "))
	}
	if s.directoryErr != nil {
		return errkind.Wrap(s.directoryErr, errkind.Partial, "cannot read the directory of balancers, others may exist")
	}
	return nil
}
