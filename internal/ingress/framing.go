package ingress

import "bytes"

// ambiguous reports whether a header leaves open where its request ends, so that
// another request could hide in the body: more than one length, or lines that do
// not end with CR LF. Hertz reads such headers without complaint.
func ambiguous(raw []byte) bool {
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
