package publish

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"bergamotbank/errkind"
	"bergamotbank/version/store"
	"bergamotbank/version/store/storetest"
)

// register is the state of the model: the current version and an identifier of its
// content.
type register struct {
	version uint64
	content int
}

// call is the input of an operation; content 0 means a load.
type call struct {
	content int
}

// callOutput is the output of an operation.
type callOutput struct {
	outcome Outcome
	state   register
}

// registerModel models the store as a register: an accepted operation makes the next
// version, one with an unknown outcome may have made it.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		current := state.(register)
		content := input.(call).content
		result := output.(callOutput)
		next := register{version: current.version + 1, content: content}
		switch {
		case content == 0 && result.state == current:
			return []any{current}
		case content == 0:
			return nil
		case result.outcome == Unknown:
			return []any{current, next}
		case result.outcome == Accepted && result.state == next:
			return []any{next}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// history records the operations of concurrent operators.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

func (h *history) now() int64 {
	return time.Since(h.start).Nanoseconds()
}

func (h *history) add(operation porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, operation)
}

// runOperator publishes and loads alternately. If the outcome of an operation is
// unknown, it repeats the operation once.
func (h *history) runOperator(t *testing.T, operator int, p *Publisher) {
	const rounds = 8
	client := operator
	for round := range rounds {
		content := 1000*(operator+1) + round
		request := Request{Config: testConfig(t, 3, content), Operation: NewOperationID()}
		begin := h.now()
		result, err := publishWithTimeout(p, request)
		if errkind.Is(err, errkind.OutcomeUnknown) {
			result, err = publishWithTimeout(p, request)
		}
		operation := porcupine.Operation{ClientId: client, Input: call{content}, Call: begin, Return: h.now()}
		switch {
		case errkind.Is(err, errkind.OutcomeUnknown):
			operation.Return = math.MaxInt64
			operation.Output = callOutput{outcome: Unknown}
			h.add(operation)
			// The operation has not ended in the history, so the following operations
			// need another client ID.
			client += 100
		case err == nil:
			operation.Output = callOutput{outcome: result.Outcome, state: register{result.Version, content}}
			h.add(operation)
		}
		h.load(client, p)
	}
}

func publishWithTimeout(p *Publisher, request Request) (Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	return p.Publish(ctx, request)
}

func (h *history) load(id int, p *Publisher) {
	begin := h.now()
	snapshot, err := Load(context.Background(), p.client)
	if err != nil {
		return
	}
	state := register{version: snapshot.Version}
	if snapshot.Config != nil {
		service, _ := snapshot.Config.Service("service-0")
		state.content = int(service.Port)
	}
	h.add(porcupine.Operation{ClientId: id, Input: call{}, Call: begin, Return: h.now(), Output: callOutput{state: state}})
}

// injectFaults changes the faults of the server at random until stop is closed.
func injectFaults(server *storetest.Server, seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, seed))
	faults := []storetest.Faults{
		{},
		{DropWriteResponses: 1, DropKeyPrefix: RootKey},
		{DropWriteResponses: 2, DropKeyPrefix: RootKey, DownAfterDrop: true},
		{Delay: 80 * time.Millisecond},
		{RateLimitedCalls: 3},
		{Down: true},
	}
	for {
		select {
		case <-stop:
			server.SetFaults(storetest.Faults{})
			return
		case <-time.After(time.Duration(10+random.IntN(40)) * time.Millisecond):
			server.SetFaults(faults[random.IntN(len(faults))])
		}
	}
}

// TestHistoriesAreLinearizable runs concurrent operators under store faults and checks
// that the results that they observe are linearizable.
func TestHistoriesAreLinearizable(t *testing.T) {
	const operators = 4
	for seed := uint64(1); seed <= 3; seed++ {
		server := newServer(t)
		h := &history{start: time.Now()}
		stop := make(chan struct{})
		var background, wait sync.WaitGroup
		background.Go(func() { injectFaults(server, seed, stop) })
		for id := range operators {
			// The timeout is below the injected delay, so delayed calls time out before
			// they take effect.
			client := store.NewClient(store.Options{
				Address: server.Address(), Timeout: 50 * time.Millisecond, CallsPerSecond: 10000, Burst: 10000,
			})
			wait.Go(func() {
				defer client.Close()
				h.runOperator(t, id, New(client))
			})
		}
		wait.Wait()
		close(stop)
		background.Wait()
		model := registerModel.ToModel()
		result := porcupine.CheckOperationsTimeout(model, h.operations, 20*time.Second)
		if result != porcupine.Ok {
			t.Fatalf("seed %d: %d operations: %s", seed, len(h.operations), result)
		}
		t.Logf("seed %d: %d operations are linearizable", seed, len(h.operations))
	}
}
