package config

import (
	"cmp"
	"slices"
	"unicode/utf8"

	"bergamotbank/errkind"
)

// Parse decodes and validates a configuration text. The error kind is TooLarge for
// a text of more than MaxTextBytes, otherwise InvalidConfig; an InvalidConfig
// error carries every problem found, see Problems.
func Parse(text []byte) (*Config, error) {
	if len(text) > MaxTextBytes {
		return nil, errkind.New(errkind.TooLarge, "configuration text: %d bytes, at most %d are allowed", len(text), MaxTextBytes)
	}
	d := newDecoder(text)
	if !utf8.Valid(text) {
		d.report(d.lineAt(invalidOffset(text)), "text", "", "not valid UTF-8")
	} else {
		d.decode()
	}
	v := newValidator(d)
	config := v.validate()
	if len(v.problems) == 0 {
		return config, nil
	}
	slices.SortStableFunc(v.problems, func(a, b Problem) int {
		return cmp.Compare(a.Line, b.Line)
	})
	return nil, errkind.Wrap(&ValidationError{Problems: v.problems}, errkind.InvalidConfig, "configuration text")
}

func invalidOffset(text []byte) int {
	offset := 0
	for offset < len(text) {
		r, size := utf8.DecodeRune(text[offset:])
		if r == utf8.RuneError && size == 1 {
			return offset
		}
		offset += size
	}
	return offset
}
