package config

import (
	"fmt"
	"strings"
)

// checkDependencies reports unknown and repeated names and cycles in
// depends_on.
func (v *validator) checkDependencies() {
	known := make(map[string]*serviceEntry)
	for _, e := range v.services {
		if _, taken := known[e.name.value]; e.name.set && !taken {
			known[e.name.value] = e
		}
	}
	for _, e := range v.services {
		v.checkNames(e, known)
	}
	v.checkCycles(known)
}

func (v *validator) checkNames(e *serviceEntry, known map[string]*serviceEntry) {
	seen := make(map[string]int)
	for _, name := range e.dependsOn.value {
		if _, found := known[name.value]; !found {
			v.report(name.line, "service.depends_on", name.value, "no service has this name")
		}
		if line, repeated := seen[name.value]; repeated {
			v.report(name.line, "service.depends_on", name.value, fmt.Sprintf("repeated, first on line %d", line))
		}
		seen[name.value] = name.line
	}
}

// mark is the state of a service during the search for cycles.
type mark uint8

const (
	unvisited mark = iota
	onPath
	finished
)

// cycleSearch is a depth-first search that reports each cycle it closes.
type cycleSearch struct {
	validator *validator
	known     map[string]*serviceEntry
	marks     map[string]mark
	path      []string
}

func (v *validator) checkCycles(known map[string]*serviceEntry) {
	search := &cycleSearch{validator: v, known: known, marks: make(map[string]mark)}
	for _, e := range v.services {
		if e.name.set {
			search.visit(e.name.value)
		}
	}
}

func (s *cycleSearch) visit(name string) {
	e, found := s.known[name]
	if !found || s.marks[name] == finished {
		return
	}
	if s.marks[name] == onPath {
		s.reportCycle(name)
		return
	}
	s.marks[name] = onPath
	s.path = append(s.path, name)
	for _, needed := range e.dependsOn.value {
		s.visit(needed.value)
	}
	s.path = s.path[:len(s.path)-1]
	s.marks[name] = finished
}

func (s *cycleSearch) reportCycle(name string) {
	start := len(s.path) - 1
	for s.path[start] != name {
		start--
	}
	cycle := strings.Join(append(append([]string{}, s.path[start:]...), name), " -> ")
	line := s.known[name].dependsOn.line
	s.validator.report(line, "service.depends_on", cycle, "cycle of dependencies")
}
