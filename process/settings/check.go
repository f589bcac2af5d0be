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

// Field describes one setting, for documentation and validation.
type Field struct {
	// Key is the dotted key in the settings file.
	Key string
	// Doc is the description for operators.
	Doc string
	// Default is the value used when the key is absent.
	Default string
	// Required lists the roles that must set the key, separated by spaces; "all" and
	// "passthrough" stand for several roles.
	Required string
}

// Fields returns all settings in the order of the Settings struct.
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

// defaults returns settings with all default values set.
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
	case *float64:
		*target, _ = strconv.ParseFloat(value, 64)
	case *Duration:
		d, _ := time.ParseDuration(value)
		*target = Duration(d)
	}
}

// validate checks all settings for role. Its error names every invalid field.
func validate(s Settings, role Role) error {
	var problems []string
	problems = append(problems, missingFields(reflect.ValueOf(s), "", role)...)
	problems = append(problems, invalidValues(s)...)
	if role == RoleAgent && !s.Store.IsValid() && len(s.Seeds) == 0 {
		problems = append(problems, `field "seeds": an agent needs "seeds" or "store"`)
	}
	if s.Agent.Calls.IsValid() && !s.Agent.Source.IsValid() {
		problems = append(problems, `field "agent.source": must be set when "agent.calls" is set`)
	}
	if len(problems) == 0 {
		return nil
	}
	return errkind.New(errkind.InvalidSettings, "%s", strings.Join(problems, "; "))
}

// missingFields describes the required fields of role that are not set.
func missingFields(v reflect.Value, prefix string, role Role) []string {
	var problems []string
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key := prefix + field.Tag.Get("toml")
		if field.Tag.Get("doc") == "" {
			problems = append(problems, missingFields(v.Field(i), key+".", role)...)
			continue
		}
		required := field.Tag.Get("required")
		if includesRole(required, role) && v.Field(i).IsZero() {
			problems = append(problems, `field "`+key+`": missing`)
		}
	}
	return problems
}

// includesRole reports whether a list of roles includes role, by its name or as part
// of "all" or "passthrough".
func includesRole(roles string, role Role) bool {
	for _, name := range strings.Fields(roles) {
		if name == "all" || name == string(role) || (name == "passthrough" && role.isPassthrough()) {
			return true
		}
	}
	return false
}

// invalidValues describes the fields with a value outside its bounds.
func invalidValues(s Settings) []string {
	var problems []string
	if !knownLevel(s.LogLevel) {
		problems = append(problems, `field "log_level": unknown level "`+s.LogLevel+`"`)
	}
	if s.TimelineEvents < minTimelineEvents || s.TimelineEvents > maxTimelineEvents {
		problems = append(problems, `field "timeline_events": `+strconv.Itoa(s.TimelineEvents)+" is out of range")
	}
	if s.Balancer.SourcePorts < 1 || s.Balancer.SourcePorts > maxSourcePorts {
		problems = append(problems, `field "balancer.source_ports": `+strconv.Itoa(s.Balancer.SourcePorts)+" is out of range")
	}
	if s.Balancer.StopGrace < 0 {
		problems = append(problems, `field "balancer.stop_grace": must not be negative`)
	}
	if s.Agent.StopTimeout < 0 {
		problems = append(problems, `field "agent.stop_timeout": must not be negative`)
	}
	if s.Passthrough.Heartbeat <= 0 {
		problems = append(problems, `field "passthrough.heartbeat": must be greater than zero`)
	}
	if a := s.Passthrough.Announce; a.IsValid() && (!a.Addr().Is4() || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Port() == 0) {
		problems = append(problems, `field "passthrough.announce": `+a.String()+" is not an IPv4 address and port of one process")
	}
	if s.Passthrough.FlowLifetime <= 0 {
		problems = append(problems, `field "passthrough.flow_lifetime": must be greater than zero`)
	}
	if s.Passthrough.LeaseMinimum <= 0 {
		problems = append(problems, `field "passthrough.lease_minimum": must be greater than zero`)
	}
	if limit := s.Passthrough.HedgeLimit; !(limit >= 0 && limit <= 1) {
		problems = append(problems, `field "passthrough.hedge_limit": `+strconv.FormatFloat(limit, 'g', -1, 64)+" is out of range")
	}
	return problems
}

func knownLevel(level string) bool {
	switch level {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}
