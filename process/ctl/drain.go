package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"bergamotbank/errkind"
	"bergamotbank/process/control"
)

// maxServerListBytes is the maximum size of the response to a lookup of one server.
const maxServerListBytes = 64 << 10

// listedServer holds the fields of an entry in a balancer's server list that a drain
// needs.
type listedServer struct {
	Control string `json:"control"`
}

// maxQuotedBytes is the maximum length of an error response quoted in an error.
const maxQuotedBytes = 500

type drainOutput struct {
	Server  string `json:"server"`
	Control string `json:"control"`
	Started bool   `json:"started"`
}

func parseControl(text string) (netip.AddrPort, error) {
	control, err := netip.ParseAddrPort(text)
	return control, errkind.Wrap(err, errkind.Malformed, "control address")
}

// drain requests the agent of a backend server to start draining.
func (c *command) drain(ctx context.Context, a *DrainCommand) error {
	cluster := c.collectStatus(ctx, c.findSeeds(ctx))
	control, err := c.findAgent(ctx, cluster, a.Server)
	if err != nil {
		return err
	}
	return c.drainAgent(ctx, a.Server, control)
}

// findAgent returns the control address of the agent of a backend server. It prefers
// the agents that the balancers report. If none matches, because no balancer to which
// the agent sends heartbeats responds, it takes the address from the first balancer
// whose view has the server.
func (c *command) findAgent(ctx context.Context, cluster clusterStatus, server string) (string, error) {
	for _, p := range cluster.processes {
		if p.Leaf && p.Name == server {
			return p.Control, nil
		}
	}
	for _, p := range cluster.processes {
		if p.Leaf {
			continue
		}
		address, ok := lookUpServer(ctx, p.Control, server)
		if ok {
			return address, nil
		}
	}
	if err := cluster.checkComplete(); err != nil {
		return "", errkind.Wrap(err, errkind.Of(err), "server %q is not known to any process that responded", server)
	}
	return "", errkind.New(errkind.NotFound, "server %q is not known to any balancer", server)
}

// lookUpServer queries a balancer for the control address of a server's agent.
func lookUpServer(ctx context.Context, balancerControl, server string) (address string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	target := "http://" + balancerControl + control.ServersPath + "?" + control.ServerParameter + "=" + url.QueryEscape(server)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return "", false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	var found []listedServer
	err = json.NewDecoder(io.LimitReader(response.Body, maxServerListBytes)).Decode(&found)
	if err != nil || len(found) == 0 {
		return "", false
	}
	return found[0].Control, true
}

func (c *command) drainAgent(ctx context.Context, server, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+control.DrainPath, http.NoBody)
	if err != nil {
		return errkind.Wrap(err, errkind.Malformed, "control address")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errkind.Wrap(err, errkind.PeerUnavailable, "agent of %s", server)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxQuotedBytes))
		return errkind.New(errkind.PeerUnavailable, "agent of %s: status %d: %s", server, response.StatusCode, body)
	}
	output := drainOutput{Server: server, Control: address, Started: true}
	return c.print(output, []string{fmt.Sprintf("drain of %s started", server)})
}
