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

// Lengths of the measurements.
const (
	warmUp       = 6 * time.Second
	measured     = 6 * time.Second
	packetSample = 50 * time.Millisecond
	domainWatch  = 8 * time.Second
)

// benchFleet starts the small layout for a measurement.
func benchFleet(b *testing.B, work time.Duration, delayMS int) *fleet.Fleet {
	b.Helper()
	text, err := os.ReadFile(filepath.Join("..", "examples", "andes", "config.toml"))
	if err != nil {
		b.Fatal(err)
	}
	layout := smallLayout
	layout.DomainDelayMS = delayMS
	layout.CallerDelayMS = delayMS
	f, err := fleet.Start(b.Context(), fleet.Options{
		Binaries: binaries, Directory: b.TempDir(), Layout: layout, Config: text, Work: work, Cold: 100 * time.Millisecond,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	return f
}

// BenchmarkPath measures the time of a keyed order and of an echo without a key
// through the whole path beside one to a backend server directly, in one run.
// The stand-in fabric delays each pass by the delay of the row.
func BenchmarkPath(b *testing.B) {
	for _, delayMS := range []int{0, 1} {
		f := benchFleet(b, time.Millisecond, delayMS)
		through := "http://" + f.ServiceAddress("ordering").String()
		direct := "http://" + f.Servers("ordering")[0].Backend.String()
		runOrders(b, f, "--orders", through+"/orders")
		name := fmt.Sprintf("path_delay_%dms", delayMS)
		reportClass(name+"_order", runOrders(b, f, "--orders", through+"/orders").Orders)
		reportClass(name+"_echo", runOrders(b, f, "--downloads", through+"/echo").Downloads)
		reportClass(name+"_direct_order", runOrders(b, f, "--orders", direct+"/orders", directFlag).Orders)
		reportClass(name+"_direct_echo", runOrders(b, f, "--downloads", direct+"/echo", directFlag).Downloads)
	}
}

func reportClass(name string, class *caller.ClassReport) {
	report(name+"_p50", class.P50, "ms")
	report(name+"_p99", class.P99, "ms")
}

func report(name string, value float64, unit string) {
	fmt.Printf("bench %s %.2f %s\n", name, value, unit)
}

// directFlag makes runOrders leave the fabric out.
const directFlag = "--direct"

// runOrders runs callers with a low rate of requests and returns their report.
func runOrders(b *testing.B, f *fleet.Fleet, arguments ...string) caller.Report {
	b.Helper()
	path := filepath.Join(b.TempDir(), "report.json")
	start := f.Caller
	if arguments[len(arguments)-1] == directFlag {
		arguments = arguments[:len(arguments)-1]
		start = f.DirectCaller
	}
	arguments = append(arguments, "--orders-per-second", "40", "--downloads-per-second", "40", "--duration", measured.String(), "--report", path, "--repeat", "unknown")
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

// BenchmarkDomainOut measures the time from acceptance to the last packet of a
// failure domain that is taken out, with the store up and down.
func BenchmarkDomainOut(b *testing.B) {
	for _, outage := range []bool{false, true} {
		f := benchFleet(b, 5*time.Millisecond, 1)
		callers, err := f.Caller("--orders", "http://"+f.ServiceAddress("ordering").String()+"/orders",
			"--orders-per-second", "100", "--duration", "60s", "--report", filepath.Join(b.TempDir(), "r.json"))
		if err != nil {
			b.Fatal(err)
		}
		time.Sleep(warmUp)
		if _, err := f.Ctl(b.Context(), "domain", "out", outDomain); err != nil {
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
		report(name, lastPacket(b, f, accepted).Seconds(), "s")
		callers.Kill()
	}
}

// lastPacket returns the time after accepted at which the packet counters of the
// failure domain changed last, seen in samples.
func lastPacket(b *testing.B, f *fleet.Fleet, accepted time.Time) time.Duration {
	b.Helper()
	var last time.Duration
	var before packets
	for time.Since(accepted) < domainWatch {
		now := packetsOfDomain(b, f)
		if now != before {
			last = time.Since(accepted)
		}
		before = now
		time.Sleep(packetSample)
	}
	return last
}
