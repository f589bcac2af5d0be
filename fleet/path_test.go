package fleet_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/fleet"
)

// binaries is the directory with the programs under test.
var binaries string

// TestMain builds the programs once for all tests of the package.
func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	output, err := exec.Command("go", "build", "-o", dir+"/", "bergamotbank/cmd/...", "bergamotbank/standin").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	binaries = dir
	return m.Run()
}

// smallLayout is two balancers and three backend servers of each service in two
// failure domains.
var smallLayout = fleet.Layout{
	DomainDelayMS: 1,
	CallerDelayMS: 1,
	Domains: []fleet.DomainLayout{
		{Name: "junin", Balancers: 1, Servers: []fleet.ServerGroup{{Service: "ordering", Count: 2}, {Service: "catalogue", Count: 1}}},
		{Name: "pasco", Balancers: 1, Servers: []fleet.ServerGroup{{Service: "ordering", Count: 1}, {Service: "catalogue", Count: 2}}},
	},
}

// andesConfig returns the configuration text of the Andes example.
func andesConfig(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "examples", "andes", "config.toml"))
	convey.So(err, convey.ShouldBeNil)
	return text
}

// startSmallFleet starts a fleet with the small layout and closes it after the test.
func startSmallFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Start(t.Context(), fleet.Options{
		Binaries:     binaries,
		Directory:    t.TempDir(),
		Layout:       smallLayout,
		Config:       andesConfig(t),
		ServiceTime:  5 * time.Millisecond,
		ColdDuration: 100 * time.Millisecond,
	})
	convey.So(err, convey.ShouldBeNil)
	t.Cleanup(f.Close)
	return f
}

// callerOutput waits for a caller to exit and returns its output.
func callerOutput(ctx context.Context, p *fleet.Process) string {
	select {
	case <-p.Done():
	case <-ctx.Done():
	}
	text, err := os.ReadFile(p.LogPath)
	convey.So(err, convey.ShouldBeNil)
	return string(text)
}

func TestOneRequestThroughTheWholePath(t *testing.T) {
	convey.Convey("A caller's request reaches a backend server of each service", t, func() {
		f := startSmallFleet(t)
		for _, service := range []string{"ordering", "catalogue"} {
			url := fmt.Sprintf("http://%s/echo", f.ServiceAddress(service))
			caller, err := f.StartCaller("--once", url)
			convey.So(err, convey.ShouldBeNil)
			text := callerOutput(t.Context(), caller)
			convey.So(text, convey.ShouldContainSubstring, "200")
			convey.So(text, convey.ShouldContainSubstring, service)
		}
	})
}
