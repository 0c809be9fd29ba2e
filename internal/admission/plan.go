package admission

import "syscall"

// Resources are what a process has. Zero means what the system sets for Descriptors, and
// DefaultMemory for Memory.
type Resources struct {
	Memory      int64 // bytes
	Descriptors int
	// LargestBody is that of a request which the process has to be able to take, in
	// bytes, whatever its memory.
	LargestBody int64
}

// DefaultMemory is the memory of a process that is not told its own, in bytes.
const DefaultMemory = 160 << 20

const (
	// reservedDescriptors are those for files and pipes.
	reservedDescriptors = 200
	// maxDescriptors are those of a process whose system sets no lower limit.
	maxDescriptors = 1 << 20
	// minConns is the least number of connections of a listener.
	minConns = 8
	// callerBodies and peerBodies are how many of the largest bodies callers and peers
	// may hold at least. One takes several times its length while it is read.
	callerBodies = 4
	peerBodies   = 6
	// adminConns and adminBytes bound a listener for a balancer or for operators.
	adminConns = 64
	adminBytes = 2 << 20
)

// Plan divides the resources of a process between its listeners. What it leaves is for
// the connections that the process opens itself, and for everything else it holds.
type Plan struct {
	Callers, Peers Limits
	// Admin is for each listener for a balancer or for operators.
	Admin Limits
}

// Divide returns the Plan for what a process has.
func Divide(r Resources) Plan {
	if r.Memory == 0 {
		r.Memory = DefaultMemory
	}
	if r.Descriptors == 0 {
		r.Descriptors = systemDescriptors()
	}
	sockets := r.Descriptors - min(reservedDescriptors, r.Descriptors/4)
	return Plan{
		Callers: Limits{Conns: max(minConns, sockets*3/8), Bytes: max(r.Memory*3/16, callerBodies*r.LargestBody)},
		Peers:   Limits{Conns: max(minConns, sockets/8), Bytes: max(r.Memory/8, peerBodies*r.LargestBody)},
		Admin:   Limits{Conns: min(adminConns, max(minConns, sockets/64)), Bytes: adminBytes},
	}
}

func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return maxDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}
