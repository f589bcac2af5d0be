package fault

import (
	"time"

	"bergamotbank/errkind"
)

// Duration is a time.Duration whose form in JSON and TOML is text such as "30ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns the duration as text.
func (d Duration) String() string {
	return d.Std().String()
}

// MarshalText returns the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText parses a duration as time.ParseDuration does. It rejects negative
// durations with an error of kind Malformed.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errkind.Wrap(err, errkind.Malformed, "duration")
	}
	if parsed < 0 {
		return errkind.New(errkind.Malformed, "duration %s is negative", parsed)
	}
	*d = Duration(parsed)
	return nil
}
