package hedge

import (
	"fmt"
	"testing"
	"time"

	"bergamotbank/connection/passthrough"
)

// BenchmarkHedge measures the recording of an opening and of its answer, a check with 1,000
// openings that are due and no free server, and a packet of a flow that is not being opened.
func BenchmarkHedge(b *testing.B) {
	for name, step := range map[string]func(h *Hedger, i int, now time.Duration){
		"opening": func(h *Hedger, i int, now time.Duration) {
			h.Opened(Opening{Flow: flowOf(1000 + i), Service: "feed", First: 1}, now)
			h.Answered(flowOf(1000+i), now+usual)
		},
		"due": func(h *Hedger, _ int, now time.Duration) {
			h.Due(now, func(*Opening) passthrough.Endpoint { return 0 })
		},
		"flow_packet": func(h *Hedger, _ int, now time.Duration) { h.Answered(flowOf(-1), now) },
	} {
		b.Run(name, func(b *testing.B) {
			h, now := measured(0.05)
			for i := range 1000 {
				h.Opened(Opening{Flow: flowOf(i), Service: "feed", First: 1, Packet: []byte{1}}, now)
			}
			now += time.Second
			for i := range b.N {
				step(h, i, now)
			}
			fmt.Printf("bench hedge/%s %.0f ns\n", name, float64(b.Elapsed().Nanoseconds())/float64(b.N))
		})
	}
}
