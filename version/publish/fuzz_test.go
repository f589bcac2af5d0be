package publish

import (
	"bytes"
	"testing"
)

// FuzzDecodeRoot checks that a root that is read can be written and read again,
// and that a broken one is an error.
func FuzzDecodeRoot(f *testing.F) {
	f.Add([]byte(`{"format":1,"version":1,"operation":"a","sections":[{"name":"domains","hash":"00112233445566778899aabbccddeeff","writer":"w"}],"recent":[{"id":"a","version":1}],"epoch":2}`))
	f.Add([]byte(`{"format":1}`))
	f.Add([]byte(`[[service]]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		root, err := DecodeRoot(value)
		if err != nil {
			return
		}
		encoded, err := EncodeRoot(root)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeRoot(encoded)
		if err != nil || again.Digest() != root.Digest() {
			t.Fatalf("%s: %v", encoded, err)
		}
		twice, err := EncodeRoot(again)
		if err != nil || !bytes.Equal(encoded, twice) {
			t.Fatalf("%s became %s: %v", encoded, twice, err)
		}
	})
}
