// Package soak puts random series of faults on instances that run as separate
// processes on the users' platform, and checks what callers and replicas see.
// All of it is test code; `make soak` plays more seeds than CI.
package soak
