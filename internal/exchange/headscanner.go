package exchange

import "sync"

// statusCodeColumn is where the status code begins in the first line of an answer.
const statusCodeColumn = len("HTTP/1.1 ")

// headScanner looks for continuation lines in the head of an answer: lines that begin
// with white space. net/http joins them to the field before, so that they cannot be told
// from its value afterwards. The zero value scans nothing until start is called. It is
// safe for concurrent use.
type headScanner struct {
	mu       sync.Mutex
	reading  bool // the head has not ended
	inStatus bool // the line is a status line
	interim  bool // the answer is interim (1xx): the head of another one follows
	column   int  // bytes of the line so far
	first    byte // of the line
	found    bool // a continuation line
}

// start begins the scan of the next answer.
func (s *headScanner) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading, s.inStatus, s.interim, s.column, s.found = true, true, false, 0, false
}

// scan takes the next bytes of the connection. Those after the head are passed over.
func (s *headScanner) scan(b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range b {
		if !s.reading {
			return
		}
		s.scanByte(c)
	}
}

func (s *headScanner) scanByte(c byte) {
	if c == '\n' {
		empty := s.column == 0 || s.column == 1 && s.first == '\r'
		if empty {
			s.reading = s.interim
			s.interim = false
		}
		s.inStatus, s.column = empty, 0
		return
	}
	switch {
	case s.column == 0:
		s.first = c
		s.found = s.found || !s.inStatus && (c == ' ' || c == '\t')
	case s.inStatus && s.column == statusCodeColumn:
		s.interim = c == '1'
	}
	s.column++
}

// foundContinuation reports whether the head has a continuation line.
func (s *headScanner) foundContinuation() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.found
}
