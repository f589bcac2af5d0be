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

// dialer opens a flow to an IP:PORT.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// echoer holds one flow to a tcp service open, sends a numbered line at each
// interval and checks that the same line comes back.
type echoer struct {
	address  string
	interval time.Duration
	// silence is the time without an answer after which the flow is given up.
	silence  time.Duration
	dial     dialer
	recorder *recorder
	name     string
}

// run keeps a flow open until ctx ends and opens a new one after a failure.
func (e *echoer) run(ctx context.Context) {
	for {
		began := time.Now()
		res := e.flow(ctx)
		now := time.Now()
		e.recorder.end(res, e.name, now.Sub(began), now)
		if !fault.Sleep(ctx, reopenAfter) {
			return
		}
	}
}

// flow uses one flow. It is answered when it was whole until ctx ended.
func (e *echoer) flow(ctx context.Context) result {
	dialing, cancel := context.WithTimeout(ctx, e.silence)
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

// exchange sends one line and reads it back.
func (e *echoer) exchange(conn net.Conn, number int) result {
	sent := fmt.Appendf(nil, "%s %d\n", e.name, number)
	_ = conn.SetDeadline(time.Now().Add(e.silence))
	if _, err := conn.Write(sent); err != nil {
		return result{outcome: echoFailure(err), detail: err.Error()}
	}
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(conn, got); err != nil {
		return result{outcome: echoFailure(err), detail: err.Error()}
	}
	if string(got) != string(sent) {
		return result{outcome: OutcomeMismatched, detail: fmt.Sprintf("got %q for %q", got, sent)}
	}
	e.recorder.line(time.Now())
	return result{outcome: OutcomeAnswered}
}

func echoFailure(err error) Outcome {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return OutcomeTimeout
	}
	return OutcomeBroken
}
