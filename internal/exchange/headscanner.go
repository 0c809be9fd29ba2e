package exchange

import (
	"bytes"
	"sync"
)

// statusCodeColumn is where the status code begins in the first line of an answer.
const statusCodeColumn = len("HTTP/1.1 ")

// codingField begins the line of a field that net/http removes.
const codingField = "Transfer-Encoding:"

// headFacts is what the head of an answer has and net/http does not tell.
type headFacts struct {
	// continued is set if a line begins with white space. net/http joins such a line to
	// the field before, whose value it cannot be told from afterwards.
	continued bool
	// coded is set if there is a Transfer-Encoding field.
	coded bool
}

// headScanner finds the headFacts of an answer, interim answers before it included. The
// zero value scans nothing until start is called. It is safe for concurrent use.
type headScanner struct {
	mu       sync.Mutex
	reading  bool                   // the head has not ended
	inStatus bool                   // the line is a status line
	interim  bool                   // the answer is interim (1xx): the head of another one follows
	column   int                    // bytes of the line so far
	line     [len(codingField)]byte // the first bytes of the line
	facts    headFacts
}

// start begins the scan of the next answer.
func (s *headScanner) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading, s.inStatus, s.interim, s.column, s.facts = true, true, false, 0, headFacts{}
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
		s.endLine()
		return
	}
	switch {
	case s.column == 0 && !s.inStatus && (c == ' ' || c == '\t'):
		s.facts.continued = true
	case s.inStatus && s.column == statusCodeColumn:
		s.interim = c == '1'
	}
	if s.column < len(s.line) {
		s.line[s.column] = c
	}
	s.column++
}

func (s *headScanner) endLine() {
	empty := s.column == 0 || s.column == 1 && s.line[0] == '\r'
	switch {
	case empty:
		s.reading, s.interim = s.interim, false
	case s.column >= len(s.line) && bytes.EqualFold(s.line[:], []byte(codingField)):
		s.facts.coded = true
	}
	s.inStatus, s.column = empty, 0
}

// found returns what the head of the answer has.
func (s *headScanner) found() headFacts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.facts
}
