// Package spec_test verifies the Promela models in this directory with Spin. Each
// model must pass, and each of its mutants must fail.
package spec_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// checkTimeout limits the verification of one model.
const checkTimeout = 2 * time.Minute

// model is a Promela file with the names of its mutants.
type model struct {
	file    string
	mutants []string
}

var models = []model{
	{"handover.pml", []string{"NO_REGISTRATION", "RESET_UNKNOWN", "RESET_HALF_OPEN"}},
	{"configuration.pml", []string{"LEASE_ONLY", "BLIND_REPEAT", "NOT_MONOTONE"}},
	{"domain.pml", []string{"BALANCERS_ONLY", "REVERT"}},
}

func TestModelsHoldAndMutantsFail(t *testing.T) {
	for _, m := range models {
		t.Run(m.file, func(t *testing.T) {
			t.Parallel()
			convey.Convey("The model "+m.file+" passes", t, func() {
				convey.So(verify(t, m.file, ""), convey.ShouldEqual, 0)
			})
			for _, mutant := range m.mutants {
				convey.Convey("The mutant "+mutant+" of "+m.file+" fails", t, func() {
					convey.So(verify(t, m.file, mutant), convey.ShouldBeGreaterThan, 0)
				})
			}
		})
	}
}

// verify explores the complete state space of a model, with the given mutant if it
// is not empty, and returns 0 if no error was found, 1 otherwise.
func verify(t *testing.T, file, mutant string) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), checkTimeout)
	defer cancel()
	source, err := filepath.Abs(file)
	convey.So(err, convey.ShouldBeNil)
	dir := t.TempDir()
	arguments := []string{"-a"}
	if mutant != "" {
		arguments = append(arguments, "-D"+mutant)
	}
	command(ctx, dir, "spin", append(arguments, source)...)
	command(ctx, dir, "cc", "-O2", "-DSAFETY", "-o", "pan", "pan.c")
	output := command(ctx, dir, "./pan", "-m100000")
	convey.So(output, convey.ShouldNotContainSubstring, "max search depth too small")
	return errorCount(output)
}

// command runs a program in dir and returns its output.
func command(ctx context.Context, dir, name string, arguments ...string) string {
	c := exec.CommandContext(ctx, name, arguments...)
	c.Dir = dir
	c.Env = os.Environ()
	output, err := c.CombinedOutput()
	convey.So(string(output), convey.ShouldNotContainSubstring, "syntax error")
	convey.So(err, convey.ShouldBeNil)
	return string(output)
}

// errorCount returns 0 if the report of the verifier shows no errors, 1 otherwise.
func errorCount(report string) int {
	_, rest, found := strings.Cut(report, "errors: ")
	convey.So(found, convey.ShouldBeTrue)
	if strings.HasPrefix(rest, "0") {
		return 0
	}
	return 1
}
