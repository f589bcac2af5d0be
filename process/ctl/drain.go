package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"bergamotbank/errkind"
)

// drainPath is the endpoint of an agent that starts its drain.
const drainPath = "/drain"

// longestRefusal bounds the part of a refusal that is quoted, in bytes.
const longestRefusal = 500

type drainOutput struct {
	Server  string `json:"server"`
	Control string `json:"control"`
	Started bool   `json:"started"`
}

func parseControl(text string) (netip.AddrPort, error) {
	control, err := netip.ParseAddrPort(text)
	return control, errkind.Wrap(err, errkind.Malformed, "control address")
}

// drain asks the agent of a backend server to start its drain.
func (c *command) drain(ctx context.Context, a *DrainCommand) error {
	f := c.survey(ctx, c.findSeeds(ctx))
	for _, p := range f.processes {
		if p.Leaf && p.Name == a.Server {
			return c.drainAgent(ctx, a.Server, p.Control)
		}
	}
	if err := f.complete(); err != nil {
		return errkind.Wrap(err, errkind.Of(err), "server %q is not known to those that answer", a.Server)
	}
	return errkind.New(errkind.NotFound, "server %q is not known to any balancer", a.Server)
}

func (c *command) drainAgent(ctx context.Context, server, control string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+control+drainPath, http.NoBody)
	if err != nil {
		return errkind.Wrap(err, errkind.Malformed, "control address")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errkind.Wrap(err, errkind.PeerUnavailable, "agent of %s", server)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		body, _ := io.ReadAll(io.LimitReader(response.Body, longestRefusal))
		return errkind.New(errkind.PeerUnavailable, "agent of %s: status %d: %s", server, response.StatusCode, body)
	}
	output := drainOutput{Server: server, Control: control, Started: true}
	return c.print(output, []string{fmt.Sprintf("drain of %s started", server)})
}
