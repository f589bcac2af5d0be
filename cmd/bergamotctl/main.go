// Command bergamotctl is the operators' command-line client of bergamotbank.
package main

func main() {}
