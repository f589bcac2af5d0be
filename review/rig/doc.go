//go:build review

// Command rig plays the scripted cases of the review: it starts the project's
// programs as separate processes with the commands of the deploy file, stand-ins for
// the platform, the servers and the callers around them, and checks one rule.
package main
