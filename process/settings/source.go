package settings

import (
	"os"
	"time"

	"bergamotbank/errkind"
)

// Source is where the settings of a process come from.
type Source struct {
	// Path is the settings file, Role the role to check them for.
	Path string
	Role Role
	// Environment replaces values, as for Load.
	Environment Environment
}

// Load reads and checks the settings, as Load does.
func (s Source) Load() (Settings, error) { return Load(s.Path, s.Role, s.Environment) }

// FileState tells one state of the file from another.
type FileState struct {
	Modified time.Time
	Size     int64
}

// FileState returns the present state of the file. The error has kind InvalidSettings.
func (s Source) FileState() (FileState, error) {
	info, err := os.Stat(s.Path)
	if err != nil {
		return FileState{}, errkind.Wrap(err, errkind.InvalidSettings, "settings")
	}
	return FileState{info.ModTime(), info.Size()}, nil
}
