// Command standin runs small stand-ins for the systems around the fleet.
package main

func main() {}
