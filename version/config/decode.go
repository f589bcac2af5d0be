package config

import (
	"errors"
	"fmt"
	"sort"
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// field is a decoded value and its line number; line is 0 if the key is absent,
// and set is false if the key is absent or its value has the wrong type.
type field[T any] struct {
	value T
	line  int
	set   bool
}

// serviceEntry is a decoded [[service]] table before validation.
type serviceEntry struct {
	line        int
	name        field[string]
	address     field[string]
	port        field[int64]
	protocol    field[string]
	slots       field[int64]
	connections field[int64]
	timeout     field[string]
	dependsOn   field[[]field[string]]
}

// domainEntry is a decoded [[domain]] table before validation.
type domainEntry struct {
	line   int
	name   field[string]
	region field[string]
	out    field[bool]
}

// decoder converts the TOML syntax tree into entries and collects syntax errors,
// type errors and unknown keys.
type decoder struct {
	text       []byte
	lineStarts []int
	parser     unstable.Parser
	services   []*serviceEntry
	domains    []*domainEntry
	problems   []Problem

	service *serviceEntry
	domain  *domainEntry
}

func newDecoder(text []byte) *decoder {
	d := &decoder{text: text}
	d.lineStarts = append(d.lineStarts, 0)
	for i, b := range text {
		if b == '\n' {
			d.lineStarts = append(d.lineStarts, i+1)
		}
	}
	return d
}

func (d *decoder) lineAt(offset int) int {
	return sort.SearchInts(d.lineStarts, offset+1)
}

func (d *decoder) report(line int, name, value, reason string) {
	d.problems = append(d.problems, Problem{Line: line, Field: name, Value: truncateValue(value), Reason: reason})
}

func (d *decoder) decode() {
	d.parser.Reset(d.text)
	for d.parser.NextExpression() {
		d.decodeExpression(d.parser.Expression())
	}
	var syntax *unstable.ParserError
	if err := d.parser.Error(); errors.As(err, &syntax) {
		offset := int(d.parser.Range(syntax.Highlight).Offset)
		d.report(d.lineAt(offset), "text", string(syntax.Highlight), "TOML syntax: "+syntax.Message)
	} else if err != nil {
		d.report(1, "text", "", "TOML syntax: "+err.Error())
	}
}

func (d *decoder) decodeExpression(node *unstable.Node) {
	switch node.Kind {
	case unstable.ArrayTable:
		d.openTable(node)
	case unstable.Table:
		name, line := d.key(node)
		d.closeTable()
		d.report(line, name, "", "unknown table; write [[service]] or [[domain]]")
	case unstable.KeyValue:
		d.decodeKeyValue(node)
	default:
	}
}

func (d *decoder) closeTable() {
	d.service = nil
	d.domain = nil
}

func (d *decoder) openTable(node *unstable.Node) {
	name, line := d.key(node)
	d.closeTable()
	switch name {
	case "service":
		d.service = &serviceEntry{line: line}
		d.services = append(d.services, d.service)
	case "domain":
		d.domain = &domainEntry{line: line}
		d.domains = append(d.domains, d.domain)
	default:
		d.report(line, name, "", "unknown table; write [[service]] or [[domain]]")
	}
}

// key returns the dotted key of a node and its line.
func (d *decoder) key(node *unstable.Node) (string, int) {
	name := ""
	line := 0
	for it := node.Key(); it.Next(); {
		part := it.Node()
		if line == 0 {
			line = d.lineAt(int(part.Raw.Offset))
		}
		if name != "" {
			name += "."
		}
		name += string(part.Data)
	}
	return name, line
}

func (d *decoder) decodeKeyValue(node *unstable.Node) {
	name, line := d.key(node)
	switch {
	case d.service != nil:
		d.decodeServiceField(name, line, node.Value())
	case d.domain != nil:
		d.decodeDomainField(name, line, node.Value())
	default:
		d.report(line, name, "", "unknown key outside a [[service]] or [[domain]] table")
	}
}

func (d *decoder) decodeServiceField(name string, line int, value *unstable.Node) {
	s := d.service
	path := "service." + name
	switch name {
	case "name":
		decodeInto(d, &s.name, path, line, value, decodeString)
	case "address":
		decodeInto(d, &s.address, path, line, value, decodeString)
	case "port":
		decodeInto(d, &s.port, path, line, value, decodeInteger)
	case "protocol":
		decodeInto(d, &s.protocol, path, line, value, decodeString)
	case "slots":
		decodeInto(d, &s.slots, path, line, value, decodeInteger)
	case "connections":
		decodeInto(d, &s.connections, path, line, value, decodeInteger)
	case "timeout":
		decodeInto(d, &s.timeout, path, line, value, decodeString)
	case "depends_on":
		decodeInto(d, &s.dependsOn, path, line, value, d.decodeNames)
	default:
		d.report(line, path, "", "unknown key")
	}
}

func (d *decoder) decodeDomainField(name string, line int, value *unstable.Node) {
	path := "domain." + name
	switch name {
	case "name":
		decodeInto(d, &d.domain.name, path, line, value, decodeString)
	case "region":
		decodeInto(d, &d.domain.region, path, line, value, decodeString)
	case "out":
		decodeInto(d, &d.domain.out, path, line, value, decodeBool)
	default:
		d.report(line, path, "", "unknown key")
	}
}

// decodeInto decodes value into f, or reports a duplicate key or a wrong type. A
// field of the wrong type still gets its line, so that it is not reported as
// missing too.
func decodeInto[T any](d *decoder, f *field[T], path string, line int, value *unstable.Node, decode func(*unstable.Node) (T, string)) {
	if f.line != 0 {
		d.report(line, path, string(value.Data), fmt.Sprintf("duplicate key, first on line %d", f.line))
		return
	}
	f.line = line
	decoded, reason := decode(value)
	if reason != "" {
		d.report(line, path, string(value.Data), reason)
		return
	}
	f.value = decoded
	f.set = true
}

func wrongType(want string, value *unstable.Node) string {
	return fmt.Sprintf("must be %s, is %s", want, value.Kind)
}

func decodeString(value *unstable.Node) (string, string) {
	if value.Kind != unstable.String {
		return "", wrongType("a string", value)
	}
	return string(value.Data), ""
}

func decodeInteger(value *unstable.Node) (int64, string) {
	if value.Kind != unstable.Integer {
		return 0, wrongType("an integer", value)
	}
	n, err := strconv.ParseInt(string(value.Data), 0, 64)
	if err != nil {
		return 0, "must be a 64-bit integer"
	}
	return n, ""
}

func decodeBool(value *unstable.Node) (bool, string) {
	if value.Kind != unstable.Bool {
		return false, wrongType("true or false", value)
	}
	return string(value.Data) == "true", ""
}

func (d *decoder) decodeNames(value *unstable.Node) ([]field[string], string) {
	if value.Kind != unstable.Array {
		return nil, wrongType("an array of strings", value)
	}
	var names []field[string]
	for it := value.Children(); it.Next(); {
		element := it.Node()
		if element.Kind == unstable.Comment {
			continue
		}
		if element.Kind != unstable.String {
			return nil, "must contain only strings, found " + element.Kind.String()
		}
		line := d.lineAt(int(element.Raw.Offset))
		names = append(names, field[string]{value: string(element.Data), line: line, set: true})
	}
	return names, ""
}
