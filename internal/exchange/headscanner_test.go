package exchange

import "testing"

// Guards against lines that are missed, because a read ends within them or because they
// follow an interim answer, and against lines of a body that are taken for some of a head.
func TestLinesOfHeadsAreFound(t *testing.T) {
	const ok, hints = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n"
	none, continued, coded := headFacts{}, headFacts{continued: true}, headFacts{coded: true}
	for answer, want := range map[string]headFacts{
		ok + "A: b\r\n\r\n":                               none,
		ok + "A: b\r\n c\r\n\r\n":                         continued,
		ok + "A: b\r\n\tc: d\r\n\r\n":                     continued,
		ok + "A: b\n c: d\n\n":                            continued,
		ok + "A: b\r\n \r\n\r\n":                          continued,
		ok + " A: b\r\n\r\n":                              continued,
		ok + "A:\r\n\r\n":                                 none,
		ok + "A:  b \r\n\r\n c\r\n\td":                    none,
		ok + "A: b\n\n c\n":                               none,
		ok + "\r\n c\r\n":                                 none,
		ok + "A: b\r\n\r\r\n c: d\r\n\r\n":                continued,
		hints + "A: b\r\n\r\n" + ok + "A: b\r\n\r\n c":    none,
		hints + "A: b\r\n\r\n" + ok + "A: b\r\n c\r\n":    continued,
		hints + "A: b\r\n c\r\n\r\n" + ok + "A: b\r\n":    continued,
		"HTTP/1.1 200 OK\r\nA: 1\r\n\r\n1: 2\r\n 3\r\n":   none,
		ok + "Transfer-Encoding: x\r\n\r\n":               coded,
		ok + "transfer-encoding:x\n\n":                    coded,
		ok + "TRANSFER-ENCODING:\r\n c\r\n\r\n":           {continued: true, coded: true},
		ok + "X-Transfer-Encoding: x\r\n\r\n":             none,
		ok + "Transfer-Encodings: x\r\n\r\n":              none,
		ok + "\r\nTransfer-Encoding: x\r\n":               none,
		"HTTP/1.0 200 Transfer-Encoding:\r\nA: b\r\n\r\n": none,
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
				if got := s.found(); got != want {
					t.Fatalf("%q in reads of %d: %+v, want %+v", answer, size, got, want)
				}
			}
		}
	}
}
