package settings

import (
	"bytes"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"bergamotbank/errkind"
)

// maxFileSize is the maximum size of a settings file, in bytes.
const maxFileSize = 64 << 10

// Environment variables that override values of the settings file, for VMs created
// from one image.
const (
	EnvName    = "BERGAMOT_NAME"
	EnvDomain  = "BERGAMOT_DOMAIN"
	EnvPacket  = "BERGAMOT_PACKET"
	EnvControl = "BERGAMOT_CONTROL"
)

// Environment looks up an environment variable, as os.LookupEnv does.
type Environment func(name string) (value string, ok bool)

// Load reads the settings file at path and validates it for role. Errors are of kind
// InvalidSettings and name the file, the field and the value.
func Load(path string, role Role, env Environment) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errkind.Wrap(err, errkind.InvalidSettings, "settings")
	}
	s, err := Parse(text, role, env)
	return s, errkind.Wrap(err, errkind.InvalidSettings, "settings %s", path)
}

// Parse parses settings from text, applies the environment and validates the result
// for role.
func Parse(text []byte, role Role, env Environment) (Settings, error) {
	if len(text) > maxFileSize {
		return Settings{}, errkind.New(errkind.InvalidSettings, "size of %d bytes exceeds the limit of %d bytes", len(text), maxFileSize)
	}
	s := defaults()
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, errkind.New(errkind.InvalidSettings, "%s", describeDecodeError(err))
	}
	if err := applyEnvironment(&s, env); err != nil {
		return Settings{}, err
	}
	return s, validate(s, role)
}

// describeDecodeError formats a decoder error as one line with its position and key.
func describeDecodeError(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		line, column := first.Position()
		return errors.Newf("line %d, column %d: unknown field %q", line, column, joinKey(first.Key())).Error()
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, column := decode.Position()
		return errors.Newf("line %d, column %d: field %q: %s", line, column, joinKey(decode.Key()), decode.Error()).Error()
	}
	return err.Error()
}

func joinKey(key toml.Key) string {
	var buffer bytes.Buffer
	for i, part := range key {
		if i > 0 {
			buffer.WriteByte('.')
		}
		buffer.WriteString(part)
	}
	return buffer.String()
}

// applyEnvironment overrides values by those of the environment.
func applyEnvironment(s *Settings, env Environment) error {
	if name, ok := env(EnvName); ok {
		s.Name = name
	}
	if domain, ok := env(EnvDomain); ok {
		s.Domain = domain
	}
	if packet, ok := env(EnvPacket); ok {
		if err := s.Packet.UnmarshalText([]byte(packet)); err != nil {
			return errkind.Wrap(err, errkind.InvalidSettings, "%s=%q", EnvPacket, packet)
		}
	}
	if control, ok := env(EnvControl); ok {
		if err := s.Control.UnmarshalText([]byte(control)); err != nil {
			return errkind.Wrap(err, errkind.InvalidSettings, "%s=%q", EnvControl, control)
		}
	}
	return nil
}
