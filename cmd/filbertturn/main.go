// Command filbertturn is a node of the proxy fleet and its operators' tool.
package main

func main() {}
