package membership

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// defaultChecks is the number of random inputs of a test.
const defaultChecks = 200

// setChecks sets the number of random inputs of the tests that follow.
func setChecks(checks int) {
	_ = flag.Set("rapid.checks", strconv.Itoa(checks))
}

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	setChecks(defaultChecks)
	os.Exit(m.Run())
}
