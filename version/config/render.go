package config

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Render returns the canonical text of the configuration: all fields are explicit
// and failure domains come first, each list sorted by name. Equal configurations
// have equal texts, and Parse accepts the text.
func Render(c *Config) []byte {
	var b bytes.Buffer
	b.Write(RenderDomains(c.Domains))
	b.Write(RenderServices(c.Services))
	return b.Bytes()
}

// RenderDomains returns the canonical text of the failure domains.
func RenderDomains(domains []Domain) []byte {
	var b bytes.Buffer
	for _, d := range domains {
		b.WriteString("[[domain]]\n")
		writeString(&b, "name", d.Name)
		if d.Region != "" {
			writeString(&b, "region", d.Region)
		}
		fmt.Fprintf(&b, "out = %t\n\n", d.Out)
	}
	return b.Bytes()
}

// RenderServices returns the canonical text of the services.
func RenderServices(services []Service) []byte {
	var b bytes.Buffer
	for _, s := range services {
		b.WriteString("[[service]]\n")
		writeString(&b, "name", s.Name)
		writeString(&b, "address", s.Address.String())
		fmt.Fprintf(&b, "port = %d\n", s.Port)
		writeString(&b, "protocol", string(s.Protocol))
		fmt.Fprintf(&b, "slots = %d\n", s.Slots)
		fmt.Fprintf(&b, "connections = %d\n", s.Connections)
		writeString(&b, "timeout", s.Timeout.String())
		writeNames(&b, s.DependsOn)
		b.WriteString("\n")
	}
	return b.Bytes()
}

// writeString writes a key with a string value. Go quoting is valid TOML here
// because Parse admits only values of plain ASCII characters.
func writeString(b *bytes.Buffer, key, value string) {
	fmt.Fprintf(b, "%s = %s\n", key, strconv.Quote(value))
}

func writeNames(b *bytes.Buffer, names []string) {
	if len(names) == 0 {
		return
	}
	quotedNames := make([]string, 0, len(names))
	for _, name := range names {
		quotedNames = append(quotedNames, strconv.Quote(name))
	}
	fmt.Fprintf(b, "depends_on = [%s]\n", strings.Join(quotedNames, ", "))
}
