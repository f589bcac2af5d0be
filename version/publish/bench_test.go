package publish

import (
	"fmt"
	"testing"

	"bergamotbank/version/config"
)

// changeBytes returns the mean size of what a change of one service writes to
// the store: the root and the section.
func changeBytes(b *testing.B, c *config.Config, groups uint64) (root, changed int) {
	const changes = 50
	sections := split(c, groups)
	r := Root{Format: format, Version: 1000, Operation: NewOperationID()}
	for range recentOperations {
		r.Recent = append(r.Recent, Operation{ID: NewOperationID(), Version: 1000})
	}
	known := make(map[Hash]bool)
	for _, s := range sections {
		known[s.hash] = true
		r.Sections = append(r.Sections, SectionRef{Name: s.name, Hash: s.hash, Writer: NewOperationID()})
	}
	value, err := EncodeRoot(r)
	if err != nil {
		b.Fatal(err)
	}
	for i := range changes {
		after := &config.Config{Domains: c.Domains, Services: append([]config.Service{}, c.Services...)}
		after.Services[i*len(c.Services)/changes].Port++
		for _, s := range split(after, groups) {
			if !known[s.hash] {
				changed += len(s.text)
			}
		}
	}
	return len(value), changed / changes
}

// BenchmarkChangeBytes weighs the number of groups.
func BenchmarkChangeBytes(b *testing.B) {
	for range b.N {
		for _, count := range []int{100, 400, 1600} {
			c := services(b, count, 80)
			whole := len(config.Render(c))
			fmt.Printf("bench change_text_bytes/services=%d %d bytes\n", count, whole)
			for _, groups := range []uint64{1, 16, 64, 256, 1024} {
				root, changed := changeBytes(b, c, groups)
				fmt.Printf("bench change_store_bytes/services=%d/groups=%d %d bytes\n", count, groups, root+changed)
			}
		}
	}
}

// BenchmarkAssemble measures the validation of a version of 1,600 services.
func BenchmarkAssemble(b *testing.B) {
	c := services(b, 1600, 80)
	root := Root{Version: 1}
	texts := make(Texts)
	for _, s := range split(c, serviceGroups) {
		texts[s.hash] = s.text
		root.Sections = append(root.Sections, SectionRef{Name: s.name, Hash: s.hash})
	}
	for b.Loop() {
		if _, err := Assemble(root, texts); err != nil {
			b.Fatal(err)
		}
	}
}
