package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"

	"bergamotbank/errkind"
	"bergamotbank/process/passthrough"
)

// WhereCommand asks a balancer of a passthrough role where a flow opened now would go.
type WhereCommand struct {
	Address string `arg:"positional,required" placeholder:"IP:PORT" help:"address to which the flow is opened"`
	Caller  string `arg:"--caller" placeholder:"IP:PORT" help:"address and port of the caller; without it all services of the route are shown"`
}

// maxWhereBytes is the maximum size of a response, some 400 bytes a server.
const maxWhereBytes = 4 << 20

// where prints where a flow opened now would go, as the first balancer that responds tells.
// Errors: Usage for an invalid address, PeerUnavailable if no balancer responds, and the kind
// of the refusal if there is one.
func (c *command) where(ctx context.Context, a *WhereCommand) error {
	query := url.Values{}
	for _, parameter := range []struct{ name, label, text string }{{passthrough.WhereAddress, "address", a.Address}, {passthrough.WhereCaller, "--caller", a.Caller}} {
		if parameter.name == passthrough.WhereCaller && parameter.text == "" {
			continue
		}
		address, err := passthrough.ParseFlowEnd(parameter.text)
		if err != nil {
			return errkind.Wrap(err, errkind.Usage, "%s", parameter.label)
		}
		query.Set(parameter.name, address.String())
	}
	if len(c.balancers) == 0 {
		return errkind.New(errkind.Usage, "no balancer is known: specify the peer address of one with --balancer")
	}
	var problems []string
	for _, balancer := range c.balancers {
		answer, err := askWhere(ctx, balancer, query)
		if err == nil {
			return c.printWhere(answer)
		}
		if !errkind.Is(err, errkind.PeerUnavailable) {
			return err
		}
		problems = append(problems, err.Error())
	}
	return errkind.New(errkind.PeerUnavailable, "%s", strings.Join(problems, "; "))
}

// askWhere asks one balancer.
func askWhere(ctx context.Context, balancer netip.AddrPort, query url.Values) (answer passthrough.Where, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+balancer.String()+passthrough.WherePath+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return answer, errkind.Wrap(err, errkind.Usage, "balancer %s", balancer)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, errkind.Wrap(err, errkind.PeerUnavailable, "balancer %s", balancer)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxQuotedBytes))
		text := strings.TrimSpace(string(body))
		if response.StatusCode == http.StatusNotFound {
			text = "not the peer address of a passthrough-balancer, or one of an earlier build"
		}
		return answer, errkind.New(errkind.PeerUnavailable, "balancer %s: status %d: %s", balancer, response.StatusCode, text)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxWhereBytes)).Decode(&answer)
	return answer, errkind.Wrap(err, errkind.Malformed, "response of balancer %s", balancer)
}

// printWhere prints the answer, and returns the first refusal in it as an error.
func (c *command) printWhere(answer passthrough.Where) error {
	if err := c.print(answer, whereLines(answer)); err != nil {
		return err
	}
	if r := answer.Refusal; r != nil {
		return refusalError(r, answer.Address)
	}
	for _, service := range answer.Services {
		if r := service.Refusal; r != nil {
			return refusalError(r, answer.Address+", service "+service.Service)
		}
	}
	return nil
}

// refusalError returns the error of a refusal.
func refusalError(r *passthrough.WhereRefusal, subject string) error {
	for _, kind := range errkind.Kinds() {
		if kind.String() == r.Kind {
			return errkind.New(kind, "%s: %s", subject, r.Reason)
		}
	}
	return errkind.New(errkind.Internal, "%s: %s: %s", subject, r.Kind, r.Reason)
}

func whereLines(w passthrough.Where) []string {
	head := fmt.Sprintf("balancer %s in %s: version %d, era %d, revision %d", w.Balancer, w.Domain, w.Version, w.Era, w.Revision)
	if w.Revision == 0 {
		head = fmt.Sprintf("balancer %s in %s: no version", w.Balancer, w.Domain)
	}
	if !w.Ready {
		head += ", not ready: the fabric delivers no packets to it"
	}
	lines := []string{head}
	if w.Revision > 0 {
		out := "none"
		if len(w.OutDomains) > 0 {
			out = strings.Join(w.OutDomains, ", ")
		}
		lines = append(lines, "domains out of service: "+out)
	}
	if w.Route != nil {
		lines = append(lines, routeLine(w.Route, w.Address))
	}
	if w.Refusal != nil {
		lines = append(lines, refusalLine(w.Refusal))
	}
	for _, service := range w.Services {
		lines = append(lines, serviceLines(service)...)
	}
	return lines
}

func routeLine(r *passthrough.WhereRoute, address string) string {
	kind, target := "unsafe", "no latency target"
	if r.Idempotent {
		kind = "idempotent"
	}
	if r.LatencyTargetMs > 0 {
		target = fmt.Sprintf("latency target %d ms", r.LatencyTargetMs)
	}
	return fmt.Sprintf("route %s of %s: %s, priority %d, %s, timeout %d ms", r.Name, address, kind, r.Priority, target, r.TimeoutMs)
}

func refusalLine(r *passthrough.WhereRefusal) string {
	return fmt.Sprintf("refused: %s: %s; the caller sees %s", r.Kind, r.Reason, r.CallerSees)
}

// basisTexts explains how a server was found.
var basisTexts = map[string]string{
	"drawn":   "the lowest value among the drawn servers with a fresh report",
	"sampled": "the lowest value in a random sample; no drawn server has a fresh report",
	"held":    "it got an earlier opening packet of this flow",
}

func serviceLines(s passthrough.WhereService) []string {
	lines := []string{fmt.Sprintf("service %s: %.3g%% of the new flows of the route", s.Service, 100*s.Share)}
	if s.Refusal != nil {
		lines = append(lines, "  "+refusalLine(s.Refusal))
	} else {
		runnerUp := s.RunnerUp
		if runnerUp == "" {
			runnerUp = "none"
		}
		lines = append(lines, fmt.Sprintf("  choice: %s, %s", s.Choice, basisTexts[s.Basis]), "  runner-up: "+runnerUp)
	}
	if len(s.Servers) == 0 {
		return append(lines, "  the balancer knows no server of the service")
	}
	measure := "SCORE"
	for _, server := range s.Servers {
		if server.ExpectedCompletionMs != nil {
			measure = "EXPECTED"
		}
	}
	rows := []string{"  AGENT\tDOMAIN\tSTATE\tPENDING\tSLOTS\tSERVICE TIME\t" + measure + "\tCOMPARED\tREPORT AGE\tDRAWN"}
	for _, server := range s.Servers {
		rows = append(rows, serverRow(server))
	}
	return append(lines, alignColumns(rows)...)
}

// serverRow returns the tab-separated cells of one server.
func serverRow(s passthrough.WhereServer) string {
	const none = "-"
	state, pending, serviceTime, value, compared, drawn := s.State, none, none, none, none, none
	if s.Excluded != "" && s.Excluded != s.State {
		state += ", " + s.Excluded
	}
	if s.Pending != nil {
		pending = fmt.Sprint(*s.Pending)
	}
	if s.ServiceTimeMs > 0 {
		serviceTime = fmt.Sprintf("%.1f ms", s.ServiceTimeMs)
	}
	format, measured := "%.3f", s.Score
	if s.ExpectedCompletionMs != nil {
		format, measured = "%.1f ms", s.ExpectedCompletionMs
	}
	if measured != nil {
		value = fmt.Sprintf(format, *measured)
	}
	if s.Compared != nil {
		compared = fmt.Sprintf(format, *s.Compared)
	}
	if s.Drawn {
		drawn = "yes"
	}
	return fmt.Sprintf("  %s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%.0f ms\t%s", s.Agent, s.Domain, state, pending, s.Slots, serviceTime, value, compared, s.ReportAgeMs, drawn)
}
