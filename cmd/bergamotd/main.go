// Command bergamotd is the daemon of bergamotbank. It runs as a balancer on an
// entry VM or as an agent beside a backend server.
package main

func main() {}
