package control

// heard is what the last answer of a peer said, which decides what the next
// heartbeat to it leaves out.
type heard struct {
	versions, known uint64 // digests
}

func (m *Membership) heardFrom(address string) heard {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heard[address]
}

func (m *Membership) hear(address string, h heard) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard[address] = h
}
