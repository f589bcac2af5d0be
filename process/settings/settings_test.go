package settings_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
	"bergamotbank/process/settings"
)

const balancerText = `
name = "junin-1"
domain = "junin"
packet = "127.0.0.1:7201"
control = "127.0.0.1:7202"
store = "127.0.0.1:7000"
`

func emptyEnvironment(string) (string, bool) { return "", false }

func TestParse(t *testing.T) {
	convey.Convey("Settings missing from the file have their default values", t, func() {
		s, err := settings.Parse([]byte(balancerText), settings.RoleBalancer, emptyEnvironment)
		convey.So(err, convey.ShouldBeNil)
		convey.So(s.LogLevel, convey.ShouldEqual, "info")
		convey.So(time.Duration(s.Balancer.StopGrace), convey.ShouldEqual, 3*time.Second)
	})
	convey.Convey("The environment overrides the domain and addresses", t, func() {
		env := map[string]string{settings.EnvDomain: "pasco", settings.EnvPacket: "127.0.0.9:1"}
		lookup := func(name string) (string, bool) { v, ok := env[name]; return v, ok }
		s, err := settings.Parse([]byte(balancerText), settings.RoleBalancer, lookup)
		convey.So(err, convey.ShouldBeNil)
		convey.So(s.Domain, convey.ShouldEqual, "pasco")
		convey.So(s.Packet.String(), convey.ShouldEqual, "127.0.0.9:1")
	})
}

func TestAnnouncedPeer(t *testing.T) {
	// Otherwise members would send to an address at which the process is not reached.
	convey.Convey("A process announces the address that is set for it, else the bound one", t, func() {
		for _, row := range []struct{ announce, want string }{
			{"", "127.0.0.1:7203"},
			{"announce = \"127.0.0.2:7204\"\n", "127.0.0.2:7204"},
		} {
			text := balancerText + "[passthrough]\npeer = \"127.0.0.1:7203\"\n" + row.announce
			s, err := settings.Parse([]byte(text), settings.RoleBalancer, emptyEnvironment)
			convey.So(err, convey.ShouldBeNil)
			convey.So(s.Passthrough.AnnouncedPeer().String(), convey.ShouldEqual, row.want)
		}
	})
}

func TestParseRejects(t *testing.T) {
	cases := []struct {
		name, text string
		role       settings.Role
		want       string
	}{
		{"invalid syntax", "name = \"a", settings.RoleBalancer, "line 1"},
		{"an unknown key", balancerText + "speed = 1\n", settings.RoleBalancer, `unknown field "speed"`},
		{"a missing field", strings.Replace(balancerText, "domain", "#", 1), settings.RoleBalancer, `field "domain": missing`},
		{"an invalid address", strings.Replace(balancerText, "127.0.0.1:7202", "127.0.0.1", 1), settings.RoleBalancer, "line 5"},
		{"a number of source ports out of range", balancerText + "[balancer]\nsource_ports = 65\n", settings.RoleBalancer, `"balancer.source_ports": 65`},
		{"a negative share of second opening packets", balancerText + "[passthrough]\nhedge_limit = -0.1\n", settings.RoleBalancer, `"passthrough.hedge_limit": -0.1`},
		{"more second opening packets than openings", balancerText + "[passthrough]\nhedge_limit = 1.01\n", settings.RoleBalancer, `"passthrough.hedge_limit": 1.01`},
		{"a share that is no number", balancerText + "[passthrough]\nhedge_limit = nan\n", settings.RoleBalancer, `"passthrough.hedge_limit": NaN`},
		{"an unknown log level", balancerText + "log_level = \"loud\"\n", settings.RoleBalancer, `unknown level "loud"`},
		{"an agent without its service", balancerText, settings.RoleAgent, `field "agent.service": missing`},
		{"an announced address that is not one of a process", balancerText + "[passthrough]\nannounce = \"0.0.0.0:7203\"\n", settings.RoleBalancer, `"passthrough.announce": 0.0.0.0:7203`},
		{"calls without a source", balancerText + "[agent]\ncalls = \"127.0.0.1:1\"\n", settings.RoleBalancer, `"agent.source"`},
	}
	for _, c := range cases {
		convey.Convey("Settings with "+c.name+" are rejected with an error that names the cause", t, func() {
			_, err := settings.Parse([]byte(c.text), c.role, emptyEnvironment)
			convey.So(errkind.Is(err, errkind.InvalidSettings), convey.ShouldBeTrue)
			convey.So(err.Error(), convey.ShouldContainSubstring, c.want)
		})
	}
}

func TestSettingsPageListsEveryField(t *testing.T) {
	convey.Convey("docs/SETTINGS.md has a row for every setting and its default", t, func() {
		page, err := os.ReadFile("../../docs/SETTINGS.md")
		convey.So(err, convey.ShouldBeNil)
		for _, field := range settings.Fields() {
			row := "| `" + field.Key + "` | " + field.Doc + " | " + field.Default + " |"
			convey.So(string(page), convey.ShouldContainSubstring, row)
		}
		for _, name := range []string{settings.EnvName, settings.EnvDomain, settings.EnvPacket, settings.EnvControl} {
			convey.So(string(page), convey.ShouldContainSubstring, name)
		}
	})
}
