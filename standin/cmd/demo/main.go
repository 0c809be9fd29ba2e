// Command demo is not wired yet.
package main

func main() {}
