// Package timeline records the events of a process in a ring buffer with timestamps of
// a hybrid logical clock, serves them over Twirp, and collects and merges the events of
// many processes.
package timeline
