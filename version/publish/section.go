package publish

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"bergamotbank/errkind"
	"bergamotbank/version/config"
)

// serviceGroups is the number of sections that share the services. A change
// moves the root, which grows with it, and one section, which shrinks with it.
const serviceGroups = 64

// domainsName names the section of the failure domains.
const domainsName = "domains"

// section is one part of the configuration.
type section struct {
	name string
	hash Hash
	text []byte
}

// split cuts the configuration into its sections: the failure domains, then the
// given number of groups of services by the hash of the name. Empty sections
// are left out.
func split(c *config.Config, groupCount uint64) []section {
	var sections []section
	add := func(name string, text []byte) {
		if len(text) > 0 {
			sections = append(sections, section{name: name, hash: HashOf(text), text: text})
		}
	}
	add(domainsName, config.RenderDomains(c.Domains))
	groups := make([][]config.Service, groupCount)
	for _, s := range c.Services {
		group := xxhash.Sum64String(s.Name) % groupCount
		groups[group] = append(groups[group], s)
	}
	for i, services := range groups {
		add(fmt.Sprintf("services/%d", i), config.RenderServices(services))
	}
	return sections
}

// Texts holds the texts of sections by their hash.
type Texts map[Hash][]byte

// Version is one complete version: its root, texts and validated content.
type Version struct {
	// Root describes the version.
	Root Root
	// Texts holds the text of each section.
	Texts Texts
	// Config is the content.
	Config *config.Config
}

// Snapshot returns the version for its users.
func (v Version) Snapshot() config.Snapshot {
	return config.Snapshot{Version: v.Root.Version, Config: v.Config}
}

// MissingSections returns the sections of a root whose texts are not there.
func MissingSections(root Root, texts Texts) []SectionRef {
	var missing []SectionRef
	for _, s := range root.Sections {
		if _, found := texts[s.Hash]; !found {
			missing = append(missing, s)
		}
	}
	return missing
}

// Assemble builds a version from its root and texts, and validates the hashes
// and the content. Errors: NotFound for a missing section, Malformed for a text
// that does not match its hash, InvalidConfig, TooLarge.
func Assemble(root Root, texts Texts) (Version, error) {
	v := Version{Root: root, Texts: make(Texts, len(root.Sections))}
	var whole []byte
	for _, s := range root.Sections {
		text, found := texts[s.Hash]
		if !found {
			return Version{}, errkind.New(errkind.NotFound, "version %d: section %s is missing", root.Version, s.Name)
		}
		if HashOf(text) != s.Hash {
			return Version{}, errkind.New(errkind.Malformed, "version %d: section %s does not match its hash", root.Version, s.Name)
		}
		v.Texts[s.Hash] = text
		whole = append(whole, text...)
	}
	c, err := config.Parse(whole)
	if err != nil {
		return Version{}, errkind.Wrap(err, errkind.Of(err), "version %d", root.Version)
	}
	v.Config = c
	return v, nil
}
