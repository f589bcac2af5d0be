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

// register is the state of the model: the current version and its content.
type register struct {
	version uint64
	content int
}

// call is the input of an operation; content 0 is a load.
type call struct {
	content int
}

// returned is the output of an operation.
type returned struct {
	outcome Outcome
	state   register
}

// registerModel is a register that operators replace: an accepted operation
// makes the next version, an unknown one may have made it.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		before := state.(register)
		wanted := input.(call).content
		got := output.(returned)
		after := register{version: before.version + 1, content: wanted}
		switch {
		case wanted == 0 && got.state == before:
			return []any{before}
		case wanted == 0:
			return nil
		case got.outcome == Unknown:
			return []any{before, after}
		case got.outcome == Accepted && got.state == after:
			return []any{after}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// history records operations.
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

// operate publishes and loads in turn; an unknown outcome is asked for again
// under the same operation.
func (h *history) operate(t *testing.T, id int, p *Publisher) {
	const rounds = 8
	for round := range rounds {
		content := 1000*(id+1) + round
		request := Request{Config: services(t, 3, content), Operation: NewOperationID()}
		begin := h.now()
		result, err := publishBounded(p, request)
		if errkind.Is(err, errkind.OutcomeUnknown) {
			result, err = publishBounded(p, request)
		}
		operation := porcupine.Operation{ClientId: id, Input: call{content}, Call: begin, Return: h.now()}
		switch {
		case errkind.Is(err, errkind.OutcomeUnknown):
			operation.Return = math.MaxInt64
			operation.Output = returned{outcome: Unknown}
			h.add(operation)
			// The operation is still open; the client is a new one from here on.
			id += 100
		case err == nil:
			operation.Output = returned{outcome: result.Outcome, state: register{result.Version, content}}
			h.add(operation)
		}
		h.load(id, p)
	}
}

func publishBounded(p *Publisher, request Request) (Result, error) {
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
	h.add(porcupine.Operation{ClientId: id, Input: call{}, Call: begin, Return: h.now(), Output: returned{state: state}})
}

// disturb switches faults at random until stop is closed.
func disturb(server *storetest.Server, seed uint64, stop <-chan struct{}) {
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

// TestHistoriesAreLinearizable lets operators race under faults of the store
// and checks that what each was told fits one order of versions.
func TestHistoriesAreLinearizable(t *testing.T) {
	const operators = 4
	for seed := uint64(1); seed <= 3; seed++ {
		server := newServer(t)
		h := &history{start: time.Now()}
		stop := make(chan struct{})
		var background, wait sync.WaitGroup
		background.Go(func() { disturb(server, seed, stop) })
		for id := range operators {
			// Delayed calls time out before they take effect.
			client := store.NewClient(store.Options{
				Address: server.Address(), Timeout: 50 * time.Millisecond, CallsPerSecond: 10000, Burst: 10000,
			})
			wait.Go(func() {
				defer client.Close()
				h.operate(t, id, New(client))
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
		t.Logf("seed %d: %d operations fit one order", seed, len(h.operations))
	}
}
