// Package soak runs instances as separate processes on the users' platform, injects
// random faults, and checks the callers' answers against what the replicas ran. It
// contains tests only; `make soak` runs more seeds than CI.
package soak
