package config_test

import (
	"bytes"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"bergamotbank/errkind"
	"bergamotbank/version/config"
)

// FuzzParse checks that Parse never panics, that an accepted text is valid for the
// decoder of the TOML library too, and that rendering and parsing an accepted
// configuration preserves it.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validText))
	f.Add([]byte("[[service]]\nname = 'a'\naddress = \"1.2.3.4\"\nport = 0x50\ndepends_on = [ # none\n]\n"))
	f.Add([]byte("[[service]]\nname = \"a\"\nport = [1, {a = 2}]\n[[domain]]\n\"na\\u006de\" = 1979-05-27\n"))
	f.Add([]byte("\xff\x00= \"\"\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := config.Parse(text)
		if err != nil {
			if kind := errkind.Of(err); kind != errkind.InvalidConfig {
				t.Fatalf("error kind %v, want invalid_config", kind)
			}
			return
		}
		var document map[string]any
		if err := toml.Unmarshal(text, &document); err != nil {
			t.Fatalf("accepted text is not valid TOML: %v", err)
		}
		canonical := config.Render(c)
		reparsed, err := config.Parse(canonical)
		if err != nil {
			t.Fatalf("canonical text rejected: %v\n%s", err, canonical)
		}
		if !bytes.Equal(config.Render(reparsed), canonical) || len(config.Diff(c, reparsed)) != 0 {
			t.Fatalf("rendering the parsed canonical text changed it:\n%s", canonical)
		}
	})
}
