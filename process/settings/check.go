package settings

import (
	"reflect"
	"strconv"
	"strings"
	"time"

	"bergamotbank/errkind"
)

// Bounds of numeric settings.
const (
	minTimelineEvents = 16
	maxTimelineEvents = 65536
	maxSourcePorts    = 64
)

// Field describes one setting for documents and checks.
type Field struct {
	// Key is the dotted key in the file.
	Key string
	// Doc is the description for operators.
	Doc string
	// Default is the value used when the key is absent.
	Default string
	// Required names the roles that must set the key, "all" for every one.
	Required string
}

// Fields lists every setting in the order of the file.
func Fields() []Field {
	return fieldsOf(reflect.TypeFor[Settings](), "")
}

func fieldsOf(t reflect.Type, prefix string) []Field {
	var fields []Field
	for i := range t.NumField() {
		f := t.Field(i)
		key := prefix + f.Tag.Get("toml")
		if f.Tag.Get("doc") == "" {
			fields = append(fields, fieldsOf(f.Type, key+".")...)
			continue
		}
		fields = append(fields, Field{
			Key:      key,
			Doc:      f.Tag.Get("doc"),
			Default:  f.Tag.Get("default"),
			Required: f.Tag.Get("required"),
		})
	}
	return fields
}

// defaults returns settings with every default filled in.
func defaults() Settings {
	var s Settings
	setDefaults(reflect.ValueOf(&s).Elem())
	return s
}

func setDefaults(v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		value := field.Tag.Get("default")
		switch {
		case field.Tag.Get("doc") == "":
			setDefaults(v.Field(i))
		case value != "":
			setDefault(v.Field(i), value)
		}
	}
}

func setDefault(v reflect.Value, value string) {
	switch target := v.Addr().Interface().(type) {
	case *string:
		*target = value
	case *int:
		*target, _ = strconv.Atoi(value)
	case *Duration:
		d, _ := time.ParseDuration(value)
		*target = Duration(d)
	}
}

// check tests the settings whole for role and names every field at fault.
func check(s Settings, role Role) error {
	var faults []string
	faults = append(faults, missing(reflect.ValueOf(s), "", role)...)
	faults = append(faults, outOfRange(s)...)
	if role == RoleAgent && !s.Store.IsValid() && len(s.Seeds) == 0 {
		faults = append(faults, `field "seeds": an agent needs "seeds" or "store"`)
	}
	if s.Agent.Calls.IsValid() && !s.Agent.Source.IsValid() {
		faults = append(faults, `field "agent.source": must be set when "agent.calls" is set`)
	}
	if len(faults) == 0 {
		return nil
	}
	return errkind.New(errkind.InvalidSettings, "%s", strings.Join(faults, "; "))
}

// missing lists the required fields of role that are not set.
func missing(v reflect.Value, prefix string, role Role) []string {
	var faults []string
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key := prefix + field.Tag.Get("toml")
		if field.Tag.Get("doc") == "" {
			faults = append(faults, missing(v.Field(i), key+".", role)...)
			continue
		}
		required := field.Tag.Get("required")
		if requires(required, role) && v.Field(i).IsZero() {
			faults = append(faults, `field "`+key+`": missing`)
		}
	}
	return faults
}

// requires tells whether a list of roles names the role, "all" or "passthrough".
func requires(roles string, role Role) bool {
	for _, name := range strings.Fields(roles) {
		if name == "all" || name == string(role) || (name == "passthrough" && role.passthrough()) {
			return true
		}
	}
	return false
}

// outOfRange lists the fields whose value is outside its bounds.
func outOfRange(s Settings) []string {
	var faults []string
	if !knownLevel(s.LogLevel) {
		faults = append(faults, `field "log_level": unknown level "`+s.LogLevel+`"`)
	}
	if s.TimelineEvents < minTimelineEvents || s.TimelineEvents > maxTimelineEvents {
		faults = append(faults, `field "timeline_events": `+strconv.Itoa(s.TimelineEvents)+" is out of range")
	}
	if s.Balancer.SourcePorts < 1 || s.Balancer.SourcePorts > maxSourcePorts {
		faults = append(faults, `field "balancer.source_ports": `+strconv.Itoa(s.Balancer.SourcePorts)+" is out of range")
	}
	if s.Balancer.StopGrace < 0 {
		faults = append(faults, `field "balancer.stop_grace": negative`)
	}
	if s.Agent.StopTimeout < 0 {
		faults = append(faults, `field "agent.stop_timeout": negative`)
	}
	if s.Passthrough.Heartbeat <= 0 {
		faults = append(faults, `field "passthrough.heartbeat": not above zero`)
	}
	if s.Passthrough.FlowLifetime <= 0 {
		faults = append(faults, `field "passthrough.flow_lifetime": not above zero`)
	}
	if s.Passthrough.LeaseMinimum <= 0 {
		faults = append(faults, `field "passthrough.lease_minimum": not above zero`)
	}
	return faults
}

func knownLevel(level string) bool {
	switch level {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}
