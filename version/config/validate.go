package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// validator validates decoded entries and collects problems.
type validator struct {
	services []*serviceEntry
	domains  []*domainEntry
	problems []Problem
}

func newValidator(d *decoder) *validator {
	return &validator{services: d.services, domains: d.domains, problems: d.problems}
}

func (v *validator) report(line int, name, value, reason string) {
	v.problems = append(v.problems, Problem{Line: line, Field: name, Value: truncateValue(value), Reason: reason})
}

// validate returns the configuration, which is valid only if no problem was found.
func (v *validator) validate() *Config {
	c := &Config{}
	v.checkCounts()
	for _, entry := range v.services {
		c.Services = append(c.Services, v.service(entry))
	}
	for _, entry := range v.domains {
		c.Domains = append(c.Domains, v.domain(entry))
	}
	v.checkServiceNames()
	v.checkDomainNames()
	v.checkAddresses(c.Services)
	v.checkDependencies()
	slices.SortFunc(c.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Domains, func(a, b Domain) int { return strings.Compare(a.Name, b.Name) })
	return c
}

func (v *validator) checkCounts() {
	if len(v.services) == 0 && len(v.problems) == 0 {
		v.report(1, "service", "", "the configuration defines no service")
	}
	if len(v.services) > MaxServices {
		v.report(v.services[MaxServices].line, "service", strconv.Itoa(len(v.services)),
			fmt.Sprintf("at most %d services are allowed", MaxServices))
	}
}

func (v *validator) service(e *serviceEntry) Service {
	s := Service{
		Name:        v.name(e.name, e.line, "service.name"),
		Address:     v.address(e),
		Port:        v.port(e),
		Protocol:    v.protocol(e),
		Slots:       v.inRange(e.slots, "service.slots", DefaultSlots, MaxSlots),
		Connections: v.inRange(e.connections, "service.connections", DefaultConnections, MaxConnections),
		Timeout:     v.timeout(e),
	}
	for _, name := range e.dependsOn.value {
		s.DependsOn = append(s.DependsOn, name.value)
	}
	slices.Sort(s.DependsOn)
	return s
}

func (v *validator) domain(e *domainEntry) Domain {
	d := Domain{Name: v.name(e.name, e.line, "domain.name"), Region: e.region.value, Out: e.out.value}
	if e.region.set && !validName(d.Region) {
		v.report(e.region.line, "domain.region", d.Region, nameReason)
	}
	return d
}

const nameReason = "must be 1 to 63 characters of a-z, 0-9 and -, with a letter or digit at both ends"

func validName(name string) bool {
	return len(name) <= MaxNameBytes && namePattern.MatchString(name)
}

func (v *validator) name(f field[string], tableLine int, path string) string {
	switch {
	case f.line == 0:
		v.report(tableLine, path, "", "missing")
	case f.set && f.value == "":
		v.report(f.line, path, "", "must not be empty")
	case f.set && !validName(f.value):
		v.report(f.line, path, f.value, nameReason)
	}
	return f.value
}

func (v *validator) address(e *serviceEntry) netip.Addr {
	const path = "service.address"
	if e.address.line == 0 {
		v.report(e.line, path, "", "missing")
	}
	if !e.address.set {
		return netip.Addr{}
	}
	addr, err := netip.ParseAddr(e.address.value)
	switch {
	case err != nil || !addr.Is4():
		v.report(e.address.line, path, e.address.value, "must be an IPv4 address")
	case addr.IsMulticast() || addr.IsUnspecified() || addr == broadcast || addr.As4()[0] == 0:
		v.report(e.address.line, path, e.address.value, "must be a unicast address")
	}
	return addr
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

func (v *validator) port(e *serviceEntry) uint16 {
	const path = "service.port"
	if e.port.line == 0 {
		v.report(e.line, path, "", "missing")
	}
	if e.port.set && (e.port.value < 1 || e.port.value > 65535) {
		v.report(e.port.line, path, strconv.FormatInt(e.port.value, 10), "must be between 1 and 65535")
	}
	return uint16(e.port.value & 0xffff)
}

func (v *validator) protocol(e *serviceEntry) Protocol {
	if !e.protocol.set {
		return DefaultProtocol
	}
	p := Protocol(e.protocol.value)
	if p != ProtocolRequest && p != ProtocolTCP {
		v.report(e.protocol.line, "service.protocol", e.protocol.value, `must be "request" or "tcp"`)
	}
	return p
}

func (v *validator) inRange(f field[int64], path string, defaultValue, maximum int) int {
	if !f.set {
		return defaultValue
	}
	if f.value < 1 || f.value > int64(maximum) {
		v.report(f.line, path, strconv.FormatInt(f.value, 10), fmt.Sprintf("must be between 1 and %d", maximum))
	}
	return int(f.value)
}

func (v *validator) timeout(e *serviceEntry) time.Duration {
	if !e.timeout.set {
		return DefaultTimeout
	}
	timeout, err := time.ParseDuration(e.timeout.value)
	if err != nil {
		v.report(e.timeout.line, "service.timeout", e.timeout.value, `must be a duration such as "10s"`)
		return 0
	}
	if timeout < MinTimeout || timeout > MaxTimeout {
		v.report(e.timeout.line, "service.timeout", e.timeout.value,
			fmt.Sprintf("must be between %s and %s", MinTimeout, MaxTimeout))
	}
	return timeout
}

func (v *validator) checkServiceNames() {
	firstLine := make(map[string]int)
	for _, e := range v.services {
		v.checkUnique(firstLine, e.name, "service.name")
	}
}

func (v *validator) checkDomainNames() {
	firstLine := make(map[string]int)
	for _, e := range v.domains {
		v.checkUnique(firstLine, e.name, "domain.name")
	}
}

func (v *validator) checkUnique(firstLine map[string]int, f field[string], path string) {
	if !f.set {
		return
	}
	if line, duplicate := firstLine[f.value]; duplicate {
		v.report(f.line, path, f.value, fmt.Sprintf("duplicate name, first on line %d", line))
		return
	}
	firstLine[f.value] = f.line
}

// checkAddresses reports services with the same address and port. The services
// must be in the order of v.services.
func (v *validator) checkAddresses(services []Service) {
	firstLine := make(map[netip.AddrPort]int)
	for i, s := range services {
		e := v.services[i]
		if !s.Address.IsValid() || !e.port.set {
			continue
		}
		if line, duplicate := firstLine[s.AddrPort()]; duplicate {
			v.report(e.address.line, "service.address", s.AddrPort().String(),
				fmt.Sprintf("duplicate address and port, first on line %d", line))
			continue
		}
		firstLine[s.AddrPort()] = e.address.line
	}
}
