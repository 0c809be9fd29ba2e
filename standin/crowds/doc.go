// Package crowds runs an instance as a separate process, opens crowds of clients at its
// listeners that send requests without end or stop short of their end, and checks that
// the process lives, what it holds, and that it still answers. It contains tests only.
package crowds
