package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"bergamotbank/standin/fault"
)

// dialFunc opens a flow to an IP:PORT.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// echoClient keeps one flow to a tcp service open, sends a numbered line at each
// interval and checks that the service echoes it.
type echoClient struct {
	address  string
	interval time.Duration
	// idleTimeout is the time without a response after which the flow is closed.
	idleTimeout time.Duration
	dial        dialFunc
	recorder    *recorder
	name        string
}

// run keeps a flow open until ctx is canceled and opens a new one after a
// failure.
func (e *echoClient) run(ctx context.Context) {
	for {
		started := time.Now()
		res := e.runFlow(ctx)
		now := time.Now()
		e.recorder.recordOutcome(res, e.name, now.Sub(started), now)
		if !fault.Sleep(ctx, reopenDelay) {
			return
		}
	}
}

// runFlow opens one flow and uses it until it fails or ctx is canceled. The
// outcome is OutcomeAnswered if every line was echoed until ctx was canceled.
func (e *echoClient) runFlow(ctx context.Context) result {
	dialing, cancel := context.WithTimeout(ctx, e.idleTimeout)
	defer cancel()
	conn, err := e.dial(dialing, "tcp", e.address)
	if ctx.Err() != nil {
		return result{outcome: OutcomeAnswered}
	}
	if err != nil {
		return result{outcome: OutcomeNotConnected, detail: err.Error()}
	}
	defer func() { _ = conn.Close() }()
	for number := 1; ; number++ {
		res := e.exchange(conn, number)
		if res.outcome != OutcomeAnswered {
			return res
		}
		if !fault.Sleep(ctx, e.interval) {
			return result{outcome: OutcomeAnswered}
		}
	}
}

// exchange sends one line and reads the echo.
func (e *echoClient) exchange(conn net.Conn, number int) result {
	sent := fmt.Appendf(nil, "%s %d\n", e.name, number)
	_ = conn.SetDeadline(time.Now().Add(e.idleTimeout))
	if _, err := conn.Write(sent); err != nil {
		return result{outcome: echoErrorOutcome(err), detail: err.Error()}
	}
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(conn, got); err != nil {
		return result{outcome: echoErrorOutcome(err), detail: err.Error()}
	}
	if string(got) != string(sent) {
		return result{outcome: OutcomeMismatched, detail: fmt.Sprintf("received %q, expected %q", got, sent)}
	}
	e.recorder.recordLine(time.Now())
	return result{outcome: OutcomeAnswered}
}

func echoErrorOutcome(err error) Outcome {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return OutcomeTimeout
	}
	return OutcomeBroken
}
