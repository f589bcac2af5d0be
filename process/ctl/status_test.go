package ctl

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/version/spread"
)

func TestStatusLines(t *testing.T) {
	convey.Convey("The columns of the status are aligned to the longest name", t, func() {
		output := statusOutput{
			StoreError: "connection refused",
			Processes: []spread.ProcessStatus{
				{Name: "a", Domain: "huancavelica-and-more", Control: "127.0.0.1:1", Version: 2, ActiveVersion: 2, Ready: true},
				{Name: "a-very-long-server-name-1", Domain: "junin", Control: "127.0.0.1:2", Leaf: true, Ready: true},
			},
			Missing: []Missing{{Name: "b", Domain: "junin", Control: "127.0.0.1:3"}},
		}
		convey.So(output.lines(), convey.ShouldResemble, []string{
			"stored version unknown: connection refused",
			"huancavelica-and-more  a                          127.0.0.1:1  balancer  version 2 active 2",
			"junin                  a-very-long-server-name-1  127.0.0.1:2  agent     version 0 active 0",
			"junin                  b                          127.0.0.1:3  missing",
		})
	})
}
