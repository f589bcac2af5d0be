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

// parallelCalls bounds the processes asked at the same time.
const parallelCalls = 32

// reportTimeout bounds the wait for one process.
const reportTimeout = 2 * time.Second

// Missing is a process that does not answer.
type Missing struct {
	// Name identifies the process; empty when only its address is known.
	Name string `json:"name"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// Control is its control address.
	Control string `json:"control"`
	// Reason tells why it does not answer.
	Reason string `json:"reason"`
}

// fleet is what the processes say about themselves.
type fleet struct {
	processes []spread.ProcessStatus
	missing   []Missing
	// unlisted is the error of the directory in the store, nil when it was read.
	unlisted error
}

// highest returns the highest version known to a process.
func (f fleet) highest() uint64 {
	var highest uint64
	for _, p := range f.processes {
		highest = max(highest, p.Version)
	}
	return highest
}

// behind returns the processes that have not put a version in force.
func (f fleet) behind(version uint64) []spread.ProcessStatus {
	var behind []spread.ProcessStatus
	for _, p := range f.processes {
		if p.ActiveVersion < version {
			behind = append(behind, p)
		}
	}
	return behind
}

// directoryEntry is a balancer in the directory.
type directoryEntry struct {
	Name    string `json:"name"`
	Control string `json:"control"`
}

// directory reads the balancers from the store.
func (c *command) directory(ctx context.Context) ([]spread.Peer, error) {
	entries, err := c.store.List(ctx, membership.DirectoryPrefix)
	if err != nil {
		return nil, err
	}
	var peers []spread.Peer
	for _, entry := range entries {
		var listed []directoryEntry
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

// seeds are the balancers that a survey begins with.
type seeds struct {
	peers []spread.Peer
	// unlisted is the error of the directory in the store, nil when it was read.
	unlisted error
}

// findSeeds takes balancers from the directory and the command line.
func (c *command) findSeeds(ctx context.Context) seeds {
	peers, err := c.directory(ctx)
	for _, control := range c.balancers {
		peers = append(peers, spread.Peer{Control: control})
	}
	return seeds{peers: peers, unlisted: err}
}

// survey asks the seeds, and the balancers that they know of, for their status.
func (c *command) survey(ctx context.Context, from seeds) fleet {
	f := fleet{processes: []spread.ProcessStatus{}, missing: []Missing{}, unlisted: from.unlisted}
	peers := from.peers
	asked := make(map[netip.AddrPort]bool)
	for len(peers) > 0 {
		reports := c.ask(ctx, peers, asked)
		peers = nil
		for _, r := range reports {
			f.add(r)
			peers = append(peers, r.report.Peers...)
		}
	}
	f.sort()
	return f
}

// answer is the report of a process, or the reason why there is none.
type answer struct {
	peer   spread.Peer
	report spread.Report
	err    error
}

// ask asks the peers that have not been asked.
func (c *command) ask(ctx context.Context, peers []spread.Peer, asked map[netip.AddrPort]bool) []answer {
	var fresh []spread.Peer
	for _, p := range peers {
		if !asked[p.Control] {
			asked[p.Control] = true
			fresh = append(fresh, p)
		}
	}
	answers := make([]answer, len(fresh))
	slots := make(chan struct{}, parallelCalls)
	var wait sync.WaitGroup
	for i, p := range fresh {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			report, err := c.operator.Report(callCtx, p.Control)
			answers[i] = answer{peer: p, report: report, err: err}
		})
	}
	wait.Wait()
	return answers
}

func (f *fleet) add(a answer) {
	if a.err != nil {
		f.missing = append(f.missing, Missing{
			Name: a.peer.Name, Domain: a.peer.Domain, Control: a.peer.Control.String(), Reason: a.err.Error(),
		})
		return
	}
	f.merge(a.report.Self)
	for _, leaf := range a.report.Leaves {
		f.merge(leaf)
	}
}

// merge keeps the latest status of a process that several have told about.
func (f *fleet) merge(p spread.ProcessStatus) {
	for i, known := range f.processes {
		if known.Name != p.Name || known.Control != p.Control {
			continue
		}
		if p.StatusAgeMillis < known.StatusAgeMillis {
			f.processes[i] = p
		}
		return
	}
	f.processes = append(f.processes, p)
}

func (f *fleet) sort() {
	slices.SortFunc(f.processes, func(a, b spread.ProcessStatus) int {
		return strings.Compare(a.Domain+"\x00"+a.Name, b.Domain+"\x00"+b.Name)
	})
	slices.SortFunc(f.missing, func(a, b Missing) int {
		return strings.Compare(a.Domain+"\x00"+a.Name, b.Domain+"\x00"+b.Name)
	})
}

// complete returns the error of a survey from which processes are missing.
func (f fleet) complete() error {
	if len(f.processes) == 0 && len(f.missing) == 0 {
		if f.unlisted != nil {
			return errkind.Wrap(f.unlisted, errkind.Of(f.unlisted), "no balancer is known: name one with --balancer")
		}
		return errkind.New(errkind.NotFound, "no balancer is known: the directory in the store is empty")
	}
	var names []string
	for _, m := range f.missing {
		names = append(names, strings.TrimSpace(m.Name+" "+m.Control))
	}
	if len(names) > 0 {
		return errkind.New(errkind.Partial, "%d processes do not answer: %s", len(names), strings.Join(names, ", "))
	}
	if f.unlisted != nil {
		return errkind.Wrap(f.unlisted, errkind.Partial, "the directory of balancers is not readable, others may exist")
	}
	return nil
}
