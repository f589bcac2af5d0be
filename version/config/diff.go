package config

import (
	"fmt"
	"strconv"
	"strings"
)

// ChangeKind is the kind of a change.
type ChangeKind string

// Kinds of changes between two configurations.
const (
	ServiceAdded   ChangeKind = "service_added"
	ServiceRemoved ChangeKind = "service_removed"
	ServiceChanged ChangeKind = "service_changed"
	DomainAdded    ChangeKind = "domain_added"
	DomainRemoved  ChangeKind = "domain_removed"
	DomainChanged  ChangeKind = "domain_changed"
)

// Change is one difference between two configurations.
type Change struct {
	// Kind says what was added, removed or changed.
	Kind ChangeKind `json:"kind"`
	// Name is the name of the service or failure domain.
	Name string `json:"name"`
	// Field is the changed key; empty for an addition or removal.
	Field string `json:"field,omitempty"`
	// Old is the previous value of the field; empty for an addition or removal.
	Old string `json:"old,omitempty"`
	// New is the new value of the field; empty for an addition or removal.
	New string `json:"new,omitempty"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	object, action, _ := strings.Cut(string(c.Kind), "_")
	if c.Field == "" {
		return fmt.Sprintf("%s %s %s", object, c.Name, action)
	}
	return fmt.Sprintf("%s %s: %s %q -> %q", object, c.Name, c.Field, c.Old, c.New)
}

// Diff returns the changes from before to after: first those of failure domains,
// then those of services, each sorted by name. A nil configuration counts as
// empty.
func Diff(before, after *Config) []Change {
	if before == nil {
		before = &Config{}
	}
	if after == nil {
		after = &Config{}
	}
	changes := []Change{}
	changes = append(changes, diffDomains(before, after)...)
	return append(changes, diffServices(before, after)...)
}

func diffDomains(before, after *Config) []Change {
	return diffByName(before.Domains, after.Domains, listDiffer[Domain]{
		name:    func(d Domain) string { return d.Name },
		removed: DomainRemoved,
		added:   DomainAdded,
		diff:    diffDomain,
	})
}

// listDiffer defines how diffByName compares two lists that are sorted by name.
type listDiffer[T any] struct {
	name           func(T) string
	removed, added ChangeKind
	diff           func(before, after T) []Change
}

// diffByName returns the changes from one sorted list to another.
func diffByName[T any](before, after []T, d listDiffer[T]) []Change {
	var changes []Change
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case j == len(after) || i < len(before) && d.name(before[i]) < d.name(after[j]):
			changes = append(changes, Change{Kind: d.removed, Name: d.name(before[i])})
			i++
		case i == len(before) || d.name(after[j]) < d.name(before[i]):
			changes = append(changes, Change{Kind: d.added, Name: d.name(after[j])})
			j++
		default:
			changes = append(changes, d.diff(before[i], after[j])...)
			i++
			j++
		}
	}
	return changes
}

func diffDomain(before, after Domain) []Change {
	var changes []Change
	add := func(name, from, to string) {
		if from != to {
			changes = append(changes, Change{Kind: DomainChanged, Name: after.Name, Field: name, Old: from, New: to})
		}
	}
	add("region", before.Region, after.Region)
	add("out", strconv.FormatBool(before.Out), strconv.FormatBool(after.Out))
	return changes
}

func diffServices(before, after *Config) []Change {
	return diffByName(before.Services, after.Services, listDiffer[Service]{
		name:    func(s Service) string { return s.Name },
		removed: ServiceRemoved,
		added:   ServiceAdded,
		diff:    diffService,
	})
}

func diffService(before, after Service) []Change {
	if before.equal(after) {
		return nil
	}
	var changes []Change
	add := func(name, from, to string) {
		if from != to {
			changes = append(changes, Change{Kind: ServiceChanged, Name: after.Name, Field: name, Old: from, New: to})
		}
	}
	add("address", before.Address.String(), after.Address.String())
	add("port", strconv.Itoa(int(before.Port)), strconv.Itoa(int(after.Port)))
	add("protocol", string(before.Protocol), string(after.Protocol))
	add("slots", strconv.Itoa(before.Slots), strconv.Itoa(after.Slots))
	add("connections", strconv.Itoa(before.Connections), strconv.Itoa(after.Connections))
	add("timeout", before.Timeout.String(), after.Timeout.String())
	add("depends_on", strings.Join(before.DependsOn, ","), strings.Join(after.DependsOn, ","))
	return changes
}
