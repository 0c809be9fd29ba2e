package exchange

import "testing"

// Guards against continuation lines that are missed, because a read ends within the line
// break before them or because they follow an interim answer, and against lines of a body
// that are taken for some.
func TestContinuationLinesAreFound(t *testing.T) {
	const ok, hints = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n"
	for answer, want := range map[string]bool{
		ok + "A: b\r\n\r\n":                             false,
		ok + "A: b\r\n c\r\n\r\n":                       true,
		ok + "A: b\r\n\tc: d\r\n\r\n":                   true,
		ok + "A: b\n c: d\n\n":                          true,
		ok + "A: b\r\n \r\n\r\n":                        true,
		ok + " A: b\r\n\r\n":                            true,
		ok + "A:\r\n\r\n":                               false,
		ok + "A:  b \r\n\r\n c\r\n\td":                  false,
		ok + "A: b\n\n c\n":                             false,
		ok + "\r\n c\r\n":                               false,
		ok + "A: b\r\n\r\r\n c: d\r\n\r\n":              true,
		hints + "A: b\r\n\r\n" + ok + "A: b\r\n\r\n c":  false,
		hints + "A: b\r\n\r\n" + ok + "A: b\r\n c\r\n":  true,
		hints + "A: b\r\n c\r\n\r\n" + ok + "A: b\r\n":  true,
		"HTTP/1.1 200 OK\r\nA: 1\r\n\r\n1: 2\r\n 3\r\n": false,
	} {
		for size := 1; size <= len(answer); size++ {
			var s headScanner
			s.scan([]byte(ok + " c\r\n")) // of no exchange
			for range 2 {                 // exchanges on the same connection
				s.start()
				for rest := answer; rest != ""; {
					n := min(size, len(rest))
					s.scan([]byte(rest[:n]))
					rest = rest[n:]
				}
				if got := s.foundContinuation(); got != want {
					t.Fatalf("%q in reads of %d: %t, want %t", answer, size, got, want)
				}
			}
		}
	}
}
