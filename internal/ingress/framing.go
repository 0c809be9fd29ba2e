package ingress

import "bytes"

// ambiguousFraming reports whether a header leaves open where its request ends, so
// that part of the body could be read as another request: more than one length
// field, white space in a field name, or a line that does not end with CR LF. Hertz
// accepts such headers.
func ambiguousFraming(raw []byte) bool {
	lengths := 0
	for len(raw) > 0 {
		line, rest, _ := bytes.Cut(raw, []byte("\n"))
		raw = rest
		if len(line) == 0 || line[len(line)-1] != '\r' {
			return true
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(name) > 0 && bytes.ContainsAny(name, " \t") && len(bytes.TrimSpace(line)) > 0:
			return true
		case bytes.EqualFold(name, []byte("Content-Length")), bytes.EqualFold(name, []byte("Transfer-Encoding")):
			lengths++
		}
	}
	return lengths > 1
}
