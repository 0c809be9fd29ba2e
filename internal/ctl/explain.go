package ctl

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLogLine bounds a line of a log that is read, in bytes.
const maxLogLine = 1 << 20

// Explanation is the story of one request, from the logs of instances.
type Explanation struct {
	RequestID string `json:"request_id"`
	// Lines are the decisions on the request in the order of time.
	Lines []LogLine `json:"lines"`
	// Known is what the instances had last logged of themselves, the store, the
	// configuration and the replicas concerned before the first of Lines.
	Known []LogLine `json:"known"`
}

// LogLine is one line of a log.
type LogLine struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Event    string         `json:"event"`
	Fields   map[string]any `json:"fields"`
}

// standing are the events that say what an instance believes, by what they
// replace: the last one of a group holds.
var standing = map[string]string{
	"start": "start", "reload": "reload", "ready": "ready", "stop": "stop",
	"configuration in force": "configuration", "daemons": "daemons", "evacuation": "evacuation",
	"store lost": "store", "store regained": "store", "lines dropped": "lines",
	"replica": "replica", "replica gone": "replica",
}

// explain reads the log files and tells the story of a request.
func explain(env Env, id string, paths []string) Result {
	e := &Explanation{RequestID: id}
	for _, path := range paths {
		var in io.Reader = env.Stdin
		if path != "-" {
			data, err := env.ReadFile(path)
			if err != nil {
				return Result{Outcome: BadInput, Message: "cannot read " + path, Errors: []string{err.Error()}}
			}
			in = bytes.NewReader(data)
		}
		if err := e.read(in); err != nil {
			return Result{Outcome: BadInput, Message: "cannot read " + path, Errors: []string{err.Error()}}
		}
	}
	byTime := func(a, b LogLine) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(e.Lines, byTime)
	slices.SortStableFunc(e.Known, byTime)
	if len(e.Lines) == 0 {
		return Result{Outcome: Failed, Message: fmt.Sprintf("no line of request %s in %s", id, count(len(paths), "file")),
			Errors: []string{"it reached no instance, its lines were dropped (event \"lines dropped\"), or the log of its instance is missing"}}
	}
	e.Known = slices.DeleteFunc(e.Known, func(l LogLine) bool { return standing[l.Event] == "replica" && !e.concerns(l) })
	return Result{Outcome: OK, Message: e.verdict(), Explanation: e}
}

// read adds the lines of one log, which are in the order of time.
func (e *Explanation) read(in io.Reader) error {
	known := map[string]map[string]LogLine{} // by instance and what is replaced
	told := map[string]bool{}
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		l, ok := parseLine(s.Bytes())
		if !ok {
			continue
		}
		if l.Fields["request_id"] == e.RequestID {
			delete(l.Fields, "request_id")
			e.Lines = append(e.Lines, l)
			if !told[l.Instance] {
				told[l.Instance] = true
				e.Known = append(e.Known, slices.Collect(maps.Values(known[l.Instance]))...)
			}
			continue
		}
		group, ok := standing[l.Event]
		if !ok {
			continue
		}
		if known[l.Instance] == nil || l.Event == "start" { // a new process knows nothing
			known[l.Instance] = map[string]LogLine{}
		}
		known[l.Instance][fmt.Sprint(group, l.Fields["replica"], l.Fields["zone"])] = l
	}
	return s.Err()
}

// parseLine parses a line of JSON, before which a log collector may have put
// text of its own.
func parseLine(line []byte) (l LogLine, ok bool) {
	begin := bytes.IndexByte(line, '{')
	if begin < 0 {
		return l, false
	}
	dec := json.NewDecoder(bytes.NewReader(line[begin:]))
	dec.UseNumber() // revisions and times are whole numbers
	if dec.Decode(&l.Fields) != nil {
		return l, false
	}
	take := func(key string) string {
		v, _ := l.Fields[key].(string)
		delete(l.Fields, key)
		return v
	}
	at, err := time.Parse(time.RFC3339Nano, take("time"))
	if err != nil {
		return l, false
	}
	l.Time, l.Instance, l.Event = at, take("instance"), take("event")
	take("level")
	take("message")
	return l, true
}

// concerns reports whether a line of a replica is one of a replica or a service
// that the request used or missed.
func (e *Explanation) concerns(l LogLine) bool {
	return slices.ContainsFunc(e.Lines, func(of LogLine) bool {
		if l.Fields["replica"] == of.Fields["replica"] || l.Fields["service"] == of.Fields["service"] {
			return true
		}
		absent, _ := of.Fields["absent"].([]any)
		return slices.ContainsFunc(absent, func(a any) bool {
			return strings.HasPrefix(fmt.Sprint(a), fmt.Sprint(l.Fields["service"], ":"))
		})
	})
}

// verdict is the end of the request in one sentence.
func (e *Explanation) verdict() string {
	last := e.Lines[len(e.Lines)-1]
	if last.Event != "request" {
		return fmt.Sprintf("request %s has not ended in these logs", e.RequestID)
	}
	text := fmt.Sprintf("request %s ended %s after %v ms", e.RequestID, last.Fields["outcome"], last.Fields["took"])
	if reason, ok := last.Fields["reason"]; ok {
		text += fmt.Sprintf(": %v", reason)
	}
	return text
}

func renderExplanation(e *Explanation, out io.Writer) {
	first := e.Lines[0].Time
	write := func(title string, lines []LogLine) {
		rows := [][]string{{"AT (MS)", "INSTANCE", strings.ToUpper(title), "WITH"}}
		for _, l := range lines {
			at := l.Time.Sub(first)
			rows = append(rows, []string{fmt.Sprintf("%+d", at.Milliseconds()), l.Instance, l.Event, l.with()})
		}
		table(out, rows)
	}
	write("decision", e.Lines)
	if len(e.Known) > 0 {
		fmt.Fprintln(out)
		write("known before", e.Known)
	}
}

// with returns the fields as text, in the order of their names.
func (l LogLine) with() string {
	names := slices.SortedFunc(maps.Keys(l.Fields), cmp.Compare[string])
	var parts []string
	for _, n := range names {
		if v := fmt.Sprint(l.Fields[n]); v != "" {
			parts = append(parts, n+"="+v)
		}
	}
	return strings.Join(parts, " ")
}
