// Package membership tracks which backend servers and balancers are alive.
//
// The agent of a backend server is the only writer of its Record. It sends
// heartbeats over UDP to a few home balancers (homes), which are chosen by
// rendezvous hashing. Balancers exchange a record only when it changes, by
// gossip and by anti-entropy, and probe each other. A backend server is removed
// from the View when all of its live homes report it silent, that is without
// heartbeats, or when its agent announces that it leaves.
//
// The protocol logic is in nodeCore and agentCore, which take events and the
// time and return actions. Node and Announcer run them with sockets, timers and
// goroutines.
package membership
