// Package timeline keeps the typed events of a process in a bounded ring,
// stamped with a hybrid logical clock, serves them over twirp, and collects and
// merges the events of many processes.
package timeline
