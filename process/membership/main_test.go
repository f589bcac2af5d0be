package membership

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// defaultChecks is the number of random inputs per property test.
const defaultChecks = 200

// setRapidChecks sets the number of random inputs of subsequent property tests.
func setRapidChecks(checks int) {
	_ = flag.Set("rapid.checks", strconv.Itoa(checks))
}

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	setRapidChecks(defaultChecks)
	os.Exit(m.Run())
}
