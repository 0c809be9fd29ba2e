// Command baobabsill is not wired yet.
package main

func main() {}
