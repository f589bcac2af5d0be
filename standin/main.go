// Command standin runs the small stand-ins for the outside systems that
// bergamotbank meets: the key-value service, the fabric, backend servers and
// callers. It serves tests, the demo and measurements and is not shipped.
package main

func main() {}
