package config_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
	"bergamotbank/version/config"
)

const validText = `# Andes
[[service]]
name = "ordering"
address = "198.18.0.10"
port = 80
protocol = "request"
slots = 2
connections = 2000
timeout = "10s"
depends_on = ["catalogue"]

[[service]]
name = "catalogue"
address = "198.18.0.11"
port = 80

[[domain]]
name = "junin"
region = "sierra-central"
out = true
`

func TestParseValid(t *testing.T) {
	convey.Convey("A valid text parses into a sorted configuration with defaults", t, func() {
		c, err := config.Parse([]byte(validText))
		convey.So(err, convey.ShouldBeNil)
		convey.So(c.Services[0].Name, convey.ShouldEqual, "catalogue")
		convey.So(c.Services[0].Protocol, convey.ShouldEqual, config.DefaultProtocol)
		convey.So(c.Services[0].Slots, convey.ShouldEqual, config.DefaultSlots)
		convey.So(c.Services[1].Timeout, convey.ShouldEqual, 10*time.Second)
		s, found := c.ServiceAt(netip.MustParseAddrPort("198.18.0.10:80"))
		convey.So(found, convey.ShouldBeTrue)
		convey.So(s.Name, convey.ShouldEqual, "ordering")
		convey.So(c.DomainOut("junin"), convey.ShouldBeTrue)
		convey.So(c.DomainOut("pasco"), convey.ShouldBeFalse)
		convey.So(c.StartOrder(), convey.ShouldResemble, [][]string{{"catalogue"}, {"ordering"}})
		reparsed, err := config.Parse(config.Render(c))
		convey.So(err, convey.ShouldBeNil)
		convey.So(config.Diff(c, reparsed), convey.ShouldBeEmpty)
	})
}

func TestParseInvalid(t *testing.T) {
	const service = "[[service]]\nname = \"a\"\naddress = \"198.18.0.1\"\nport = 80\n"
	cases := []struct{ name, text, want string }{
		{"empty text", "", "line 1: service: the configuration defines no service"},
		{"only a comment", "# nothing\n", "line 1: service: the configuration defines no service"},
		{"syntax", service + "slots = = 3\n", "line 5: text"},
		{"unknown key", service + "port_number = 1\n", "line 5: service.port_number: unknown key"},
		{"dotted key", service + "limits.slots = 1\n", "line 5: service.limits.slots: unknown key"},
		{"unknown table", service + "[server]\nx = 1\n", "line 5: server: unknown table"},
		{"key outside a table", "x = 1\n" + service, "line 1: x: unknown key"},
		{"duplicate key", service + "port = 81\n", `line 5: service.port = "81": duplicate key, first on line 4`},
		{"wrong type", service + "slots = \"two\"\n", `line 5: service.slots = "two": must be an integer, is String`},
		{"wrong type of out", service + "[[domain]]\nname = \"d\"\nout = \"yes\"\n", `line 7: domain.out = "yes": must be true or false`},
		{"missing name", "[[service]]\naddress = \"198.18.0.1\"\nport = 80\n", "line 1: service.name: missing"},
		{"missing port", "[[service]]\nname = \"a\"\naddress = \"198.18.0.1\"\n", "line 1: service.port: missing"},
		{"invalid name", strings.Replace(service, `"a"`, `"A b"`, 1), `line 2: service.name = "A b": must be 1 to 63`},
		{"port 0", strings.Replace(service, "80", "0", 1), `line 4: service.port = "0": must be between 1 and 65535`},
		{"port 65536", strings.Replace(service, "80", "65536", 1), `line 4: service.port = "65536"`},
		{"port over 64 bits", strings.Replace(service, "80", "99999999999999999999", 1), "line 4: service.port"},
		{"IPv6", strings.Replace(service, "198.18.0.1", "::1", 1), `line 3: service.address = "::1": must be an IPv4 address`},
		{"multicast", strings.Replace(service, "198.18.0.1", "224.0.0.1", 1), `line 3: service.address = "224.0.0.1": must be a unicast`},
		{"broadcast", strings.Replace(service, "198.18.0.1", "255.255.255.255", 1), "must be a unicast address"},
		{"slots 0", service + "slots = 0\n", `line 5: service.slots = "0": must be between 1 and 65536`},
		{"connections", service + "connections = 2000000\n", `line 5: service.connections = "2000000"`},
		{"timeout", service + "timeout = \"10\"\n", `line 5: service.timeout = "10": must be a duration`},
		{"negative timeout", service + "timeout = \"-1s\"\n", `line 5: service.timeout = "-1s": must be between`},
		{"protocol", service + "protocol = \"udp\"\n", `line 5: service.protocol = "udp": must be "request" or "tcp"`},
		{"unknown dependency", service + "depends_on = [\n \"b\"]\n", `line 6: service.depends_on = "b": no service has this name`},
		{"self dependency", service + "depends_on = [\"a\"]\n", `line 5: service.depends_on = "a -> a": dependency cycle`},
		{"duplicate service", service + strings.Replace(service, "80", "81", 1), `line 6: service.name = "a": duplicate name, first on line 2`},
		{"duplicate address", service + strings.Replace(service, `"a"`, `"b"`, 1), `line 7: service.address = "198.18.0.1:80": duplicate address and port, first on line 3`},
		{"duplicate domain", service + "[[domain]]\nname = \"d\"\n[[domain]]\nname = \"d\"\n", `line 8: domain.name = "d": duplicate name`},
		{"not UTF-8", service + "# \xff\n", "line 5: text: not valid UTF-8"},
	}
	for _, tc := range cases {
		convey.Convey(tc.name, t, func() {
			_, err := config.Parse([]byte(tc.text))
			convey.So(errkind.Of(err), convey.ShouldEqual, errkind.InvalidConfig)
			convey.So(err.Error(), convey.ShouldContainSubstring, tc.want)
		})
	}
}

func TestParseCollectsAllProblems(t *testing.T) {
	convey.Convey("All problems are reported, sorted by line", t, func() {
		text := "[[service]]\nname = \"a\"\naddress = \"x\"\nport = 0\ndepends_on = [\"b\"]\n" +
			"[[service]]\nname = \"b\"\naddress = \"198.18.0.2\"\nport = 1\nslots = -1\ndepends_on = [\"c\"]\n" +
			"[[service]]\nname = \"c\"\naddress = \"198.18.0.3\"\nport = 1\ndepends_on = [\"a\", \"zz\"]\ncolour = 1\n"
		_, err := config.Parse([]byte(text))
		problems := config.Problems(err)
		var lines []int
		for _, p := range problems {
			lines = append(lines, p.Line)
		}
		convey.So(lines, convey.ShouldResemble, []int{3, 4, 5, 10, 16, 17})
		convey.So(problems[2].Value, convey.ShouldEqual, "a -> b -> c -> a")
	})
	convey.Convey("A text over the size limit is rejected as too large", t, func() {
		_, err := config.Parse(make([]byte, config.MaxTextBytes+1))
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.TooLarge)
	})
}

func TestDiff(t *testing.T) {
	convey.Convey("Changes are listed by kind and as text", t, func() {
		before, err := config.Parse([]byte(validText))
		convey.So(err, convey.ShouldBeNil)
		text := strings.Replace(validText, "out = true", "out = false", 1)
		text = strings.Replace(text, "port = 80\nprotocol", "port = 81\nprotocol", 1)
		text += "[[service]]\nname = \"status\"\naddress = \"198.18.0.12\"\nport = 80\n"
		after, err := config.Parse([]byte(text))
		convey.So(err, convey.ShouldBeNil)
		var lines []string
		for _, change := range config.Diff(before, after) {
			lines = append(lines, change.String())
		}
		convey.So(lines, convey.ShouldResemble, []string{
			`domain junin: out "true" -> "false"`,
			`service ordering: port "80" -> "81"`,
			`service status added`,
		})
		convey.So(config.Diff(nil, before), convey.ShouldHaveLength, 3)
		convey.So(config.Diff(before, nil), convey.ShouldHaveLength, 3)
	})
}
