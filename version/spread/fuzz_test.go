package spread

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"bergamotbank/version/publish"
	"bergamotbank/version/spread/spreadpb"
)

// FuzzOffer checks that no OfferRequest, whoever sends it, makes a process panic or
// accept a version whose texts do not match their hashes.
func FuzzOffer(f *testing.F) {
	text := []byte("[[service]]\nname = \"a\"\naddress = \"1.2.3.4\"\nport = 1\n")
	hash := publish.HashOf(text)
	root := &spreadpb.Root{Version: 1, Sections: []*spreadpb.SectionRef{{Name: "services/1", Hash: hash[:]}}}
	seed, err := proto.Marshal(&spreadpb.OfferRequest{Root: root, Texts: [][]byte{text}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, message []byte) {
		var request spreadpb.OfferRequest
		if proto.Unmarshal(message, &request) != nil {
			return
		}
		root, err := rootFromWire(request.GetRoot())
		if err != nil {
			return
		}
		texts := make(publish.Texts)
		for _, text := range request.GetTexts() {
			texts[publish.HashOf(text)] = text
		}
		v, err := publish.Assemble(root, texts)
		if err != nil {
			return
		}
		for _, s := range v.Root.Sections {
			if publish.HashOf(v.Texts[s.Hash]) != s.Hash {
				t.Fatalf("section %s does not match its hash", s.Name)
			}
		}
	})
}
