// Package membership knows which backend servers and balancers are alive.
//
// The agent of a backend server is the only writer of its Record. It sends
// heartbeats over UDP to a few home balancers; a record travels between
// balancers only when it changes, by gossip and by anti-entropy. Balancers
// probe each other. A backend server leaves the View when all of its alive
// homes find it silent, or when its agent says that it leaves.
//
// The decisions are in nodeCore and agentCore: event and time in, actions out.
// Node and Announcer run them with sockets, timers and goroutines.
package membership
