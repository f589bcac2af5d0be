package config_test

import (
	"bytes"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"bergamotbank/errkind"
	"bergamotbank/version/config"
)

// FuzzParse checks that Parse never panics, that the canonical text of what it
// accepts is a fixed point, and that the library's own decoder accepts it too.
func FuzzParse(f *testing.F) {
	f.Add([]byte(andes))
	f.Add([]byte("[[service]]\nname = 'a'\naddress = \"1.2.3.4\"\nport = 0x50\ndepends_on = [ # none\n]\n"))
	f.Add([]byte("[[service]]\nname = \"a\"\nport = [1, {a = 2}]\n[[domain]]\n\"na\\u006de\" = 1979-05-27\n"))
	f.Add([]byte("\xff\x00= \"\"\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := config.Parse(text)
		if err != nil {
			if kind := errkind.Of(err); kind != errkind.InvalidConfig {
				t.Fatalf("kind %v", kind)
			}
			return
		}
		var document map[string]any
		if err := toml.Unmarshal(text, &document); err != nil {
			t.Fatalf("accepted a text that is not TOML: %v", err)
		}
		canonical := config.Render(c)
		again, err := config.Parse(canonical)
		if err != nil {
			t.Fatalf("canonical text refused: %v\n%s", err, canonical)
		}
		if !bytes.Equal(config.Render(again), canonical) || len(config.Diff(c, again)) != 0 {
			t.Fatalf("canonical text is not a fixed point:\n%s", canonical)
		}
	})
}
