package config

import (
	"fmt"
	"strings"
)

// checkDependencies reports unknown services, duplicates and cycles in
// depends_on.
func (v *validator) checkDependencies() {
	byName := make(map[string]*serviceEntry)
	for _, e := range v.services {
		if _, duplicate := byName[e.name.value]; e.name.set && !duplicate {
			byName[e.name.value] = e
		}
	}
	for _, e := range v.services {
		v.checkDependencyNames(e, byName)
	}
	v.checkCycles(byName)
}

func (v *validator) checkDependencyNames(e *serviceEntry, byName map[string]*serviceEntry) {
	firstLine := make(map[string]int)
	for _, name := range e.dependsOn.value {
		if _, found := byName[name.value]; !found {
			v.report(name.line, "service.depends_on", name.value, "no service has this name")
		}
		if line, duplicate := firstLine[name.value]; duplicate {
			v.report(name.line, "service.depends_on", name.value, fmt.Sprintf("duplicate dependency, first on line %d", line))
		}
		firstLine[name.value] = name.line
	}
}

// mark is the state of a service during the search for cycles.
type mark uint8

const (
	unvisited mark = iota
	onPath
	finished
)

// cycleSearch is a depth-first search that reports each cycle that it finds.
type cycleSearch struct {
	validator *validator
	services  map[string]*serviceEntry
	marks     map[string]mark
	path      []string
}

func (v *validator) checkCycles(byName map[string]*serviceEntry) {
	search := &cycleSearch{validator: v, services: byName, marks: make(map[string]mark)}
	for _, e := range v.services {
		if e.name.set {
			search.visit(e.name.value)
		}
	}
}

func (s *cycleSearch) visit(name string) {
	e, found := s.services[name]
	if !found || s.marks[name] == finished {
		return
	}
	if s.marks[name] == onPath {
		s.reportCycle(name)
		return
	}
	s.marks[name] = onPath
	s.path = append(s.path, name)
	for _, dependency := range e.dependsOn.value {
		s.visit(dependency.value)
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
	line := s.services[name].dependsOn.line
	s.validator.report(line, "service.depends_on", cycle, "dependency cycle")
}
