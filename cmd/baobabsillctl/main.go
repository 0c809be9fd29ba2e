// Command baobabsillctl is not wired yet.
package main

func main() {}
