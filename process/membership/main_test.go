package membership

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f != nil {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
