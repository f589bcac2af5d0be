package settings

import (
	"os"
	"time"

	"bergamotbank/errkind"
)

// Source describes where the settings of a process come from.
type Source struct {
	// Path is the path of the settings file, Role the role to validate it for.
	Path string
	Role Role
	// Environment overrides values, as for Load.
	Environment Environment
}

// Load reads and validates the settings as the function Load does.
func (s Source) Load() (Settings, error) { return Load(s.Path, s.Role, s.Environment) }

// FileState identifies a state of the settings file, to detect changes.
type FileState struct {
	Modified time.Time
	Size     int64
}

// FileState returns the current state of the settings file. The error has kind
// InvalidSettings.
func (s Source) FileState() (FileState, error) {
	info, err := os.Stat(s.Path)
	if err != nil {
		return FileState{}, errkind.Wrap(err, errkind.InvalidSettings, "settings")
	}
	return FileState{info.ModTime(), info.Size()}, nil
}
