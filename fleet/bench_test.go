package fleet_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"bergamotbank/fleet"
	"bergamotbank/standin/caller"
)

// Durations of the measurements.
const (
	warmUp               = 6 * time.Second
	measurementDuration  = 6 * time.Second
	packetSampleInterval = 50 * time.Millisecond
	observationTime      = 8 * time.Second
)

// benchFleet starts a fleet with the small layout for a benchmark.
func benchFleet(b *testing.B, serviceTime time.Duration, delayMS int) *fleet.Fleet {
	b.Helper()
	text, err := os.ReadFile(filepath.Join("..", "examples", "andes", "config.toml"))
	if err != nil {
		b.Fatal(err)
	}
	layout := smallLayout
	layout.DomainDelayMS = delayMS
	layout.CallerDelayMS = delayMS
	f, err := fleet.Start(b.Context(), fleet.Options{
		Binaries: binaries, Directory: b.TempDir(), Layout: layout, Config: text, ServiceTime: serviceTime, ColdDuration: 100 * time.Millisecond,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	return f
}

// BenchmarkPath measures in one run the latency of an order with a key and of an echo
// without a key over the whole path, and of the same requests sent directly to a
// backend server. The simulated fabric delays each packet by the delay in the name of
// the figure.
func BenchmarkPath(b *testing.B) {
	for _, delayMS := range []int{0, 1} {
		f := benchFleet(b, time.Millisecond, delayMS)
		through := "http://" + f.ServiceAddress("ordering").String()
		direct := "http://" + f.Servers("ordering")[0].Backend.String()
		runCallers(b, f, "--orders", through+"/orders")
		name := fmt.Sprintf("path_delay_%dms", delayMS)
		printLatencies(name+"_order", runCallers(b, f, "--orders", through+"/orders").Orders)
		printLatencies(name+"_echo", runCallers(b, f, "--downloads", through+"/echo").Downloads)
		printLatencies(name+"_direct_order", runCallers(b, f, "--orders", direct+"/orders", directFlag).Orders)
		printLatencies(name+"_direct_echo", runCallers(b, f, "--downloads", direct+"/echo", directFlag).Downloads)
	}
}

func printLatencies(name string, class *caller.ClassReport) {
	printFigure(name+"_p50", class.P50, "ms")
	printFigure(name+"_p99", class.P99, "ms")
}

func printFigure(name string, value float64, unit string) {
	fmt.Printf("bench %s %.2f %s\n", name, value, unit)
}

// directFlag makes runCallers bypass the fabric.
const directFlag = "--direct"

// runCallers runs callers with a low request rate and returns their report.
func runCallers(b *testing.B, f *fleet.Fleet, arguments ...string) caller.Report {
	b.Helper()
	path := filepath.Join(b.TempDir(), "report.json")
	start := f.StartCaller
	if arguments[len(arguments)-1] == directFlag {
		arguments = arguments[:len(arguments)-1]
		start = f.StartDirectCaller
	}
	arguments = append(arguments, "--orders-per-second", "40", "--downloads-per-second", "40", "--duration", measurementDuration.String(), "--report", path, "--repeat", "unknown")
	process, err := start(arguments...)
	if err != nil {
		b.Fatal(err)
	}
	if err := process.Wait(); err != nil {
		b.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		b.Fatal(err)
	}
	var r caller.Report
	if err := json.Unmarshal(text, &r); err != nil {
		b.Fatal(err)
	}
	return r
}

// BenchmarkDomainOut measures the time from the acceptance of a version that takes
// a failure domain out of service to the last packet of that domain, with the store
// available and unavailable.
func BenchmarkDomainOut(b *testing.B) {
	for _, outage := range []bool{false, true} {
		f := benchFleet(b, 5*time.Millisecond, 1)
		callers, err := f.StartCaller("--orders", "http://"+f.ServiceAddress("ordering").String()+"/orders",
			"--orders-per-second", "100", "--duration", "60s", "--report", filepath.Join(b.TempDir(), "r.json"))
		if err != nil {
			b.Fatal(err)
		}
		time.Sleep(warmUp)
		if _, err := f.RunCtl(b.Context(), "domain", "out", outDomain); err != nil {
			b.Fatal(err)
		}
		accepted := time.Now()
		name := "domain_out_last_packet_store_up"
		if outage {
			name = "domain_out_last_packet_store_down"
			if err := f.SetFault(b.Context(), f.Store(), `{"outage": "refuse"}`); err != nil {
				b.Fatal(err)
			}
		}
		printFigure(name, timeOfLastPacket(b, f, accepted).Seconds(), "s")
		callers.Kill()
	}
}

// timeOfLastPacket returns the time from accepted to the last sampled change of the
// packet counters of the failure domain.
func timeOfLastPacket(b *testing.B, f *fleet.Fleet, accepted time.Time) time.Duration {
	b.Helper()
	var last time.Duration
	var before packetCounts
	for time.Since(accepted) < observationTime {
		now := packetsOfDomain(b, f)
		if now != before {
			last = time.Since(accepted)
		}
		before = now
		time.Sleep(packetSampleInterval)
	}
	return last
}
