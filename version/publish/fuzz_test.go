package publish

import (
	"bytes"
	"testing"
)

// FuzzDecodeRoot checks that invalid input returns an error, and that a decoded root
// is unchanged after it is encoded and decoded again.
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
		decoded, err := DecodeRoot(encoded)
		if err != nil || decoded.Digest() != root.Digest() {
			t.Fatalf("%s: %v", encoded, err)
		}
		reencoded, err := EncodeRoot(decoded)
		if err != nil || !bytes.Equal(encoded, reencoded) {
			t.Fatalf("%s was encoded as %s after decoding: %v", encoded, reencoded, err)
		}
	})
}
