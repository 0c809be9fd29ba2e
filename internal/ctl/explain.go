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

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

// Explanation is what the logs of instances say about one request.
type Explanation struct {
	RequestID string `json:"request_id"`
	// Lines are the lines that carry the ID of the request, in the order of time.
	Lines []LogLine `json:"lines"`
	// Known is the state in which each instance first handled the request: its last
	// lines before that about itself, the store, the configuration and the replicas
	// of the services concerned.
	Known []LogLine `json:"known"`
}

// LogLine is one line of a log. Fields holds the fields that have no member of
// their own, except the level and the message.
type LogLine struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Event    string         `json:"event"`
	Fields   map[string]any `json:"fields"`
}

// stateEventGroups maps each event that reports the state of an instance to its
// group. A later event of a group replaces the earlier ones.
var stateEventGroups = map[string]string{
	"start": "start", "reload": "reload", "ready": "ready", "stop": "stop",
	"configuration in force": "configuration", "daemons": "daemons", "evacuation": "evacuation",
	"store restored": "era", "store lost": "store", "store regained": "store", "lines dropped": "lines",
	"rate limit": "rate limit", "leaving": "leaving", "paused": "paused", "replica": "replica", "replica gone": "replica",
}

// statesOfReplicas are the groups whose events concern one replica.
var statesOfReplicas = map[string]bool{"replica": true, "rate limit": true, "leaving": true, "paused": true}

// explain collects the lines of a request from log files; "-" is standard input.
func explain(env Env, id string, paths []string) Result {
	e := &Explanation{RequestID: id}
	for _, path := range paths {
		var logFile io.Reader = env.Stdin
		if path != "-" {
			data, err := env.ReadFile(path)
			if err != nil {
				return Result{Outcome: BadInput, Message: "cannot read " + path, Errors: []string{err.Error()}}
			}
			logFile = bytes.NewReader(data)
		}
		if err := e.addLog(logFile); err != nil {
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
	e.Known = slices.DeleteFunc(e.Known, func(l LogLine) bool {
		return statesOfReplicas[stateEventGroups[l.Event]] && !e.isRelevant(l)
	})
	return Result{Outcome: OK, Message: e.conclusion(), Explanation: e}
}

// addLog adds the lines of one log, which has to be in the order of time.
func (e *Explanation) addLog(logFile io.Reader) error {
	known := map[string]map[string]LogLine{} // by instance and by group, replica and zone
	knownAdded := map[string]bool{}          // by instance
	s := bufio.NewScanner(logFile)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		l, ok := parseLine(s.Bytes())
		if !ok {
			continue
		}
		if l.Fields["request_id"] == e.RequestID {
			delete(l.Fields, "request_id")
			e.Lines = append(e.Lines, l)
			if !knownAdded[l.Instance] {
				knownAdded[l.Instance] = true
				e.Known = append(e.Known, slices.Collect(maps.Values(known[l.Instance]))...)
			}
			continue
		}
		group, ok := stateEventGroups[l.Event]
		if !ok {
			continue
		}
		if known[l.Instance] == nil || l.Event == "start" { // a new process has no state yet
			known[l.Instance] = map[string]LogLine{}
		}
		known[l.Instance][fmt.Sprint(group, l.Fields["replica"], l.Fields["zone"])] = l
	}
	return s.Err()
}

// parseLine parses a line of JSON. It skips text that a log collector put before
// the JSON.
func parseLine(line []byte) (l LogLine, ok bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return l, false
	}
	dec := json.NewDecoder(bytes.NewReader(line[start:]))
	dec.UseNumber() // a float64 would change large revisions and times
	if dec.Decode(&l.Fields) != nil {
		return l, false
	}
	removeString := func(key string) string {
		v, _ := l.Fields[key].(string)
		delete(l.Fields, key)
		return v
	}
	at, err := time.Parse(time.RFC3339Nano, removeString("time"))
	if err != nil {
		return l, false
	}
	l.Time, l.Instance, l.Event = at, removeString("instance"), removeString("event")
	removeString("level")
	removeString("message")
	return l, true
}

// isRelevant reports whether a line about a replica concerns a replica or a service
// that the request used, or a service whose shards are missing in its answer.
func (e *Explanation) isRelevant(l LogLine) bool {
	return slices.ContainsFunc(e.Lines, func(requestLine LogLine) bool {
		if l.Fields["replica"] == requestLine.Fields["replica"] || l.Fields["service"] == requestLine.Fields["service"] {
			return true
		}
		missing, _ := requestLine.Fields["absent"].([]any)
		return slices.ContainsFunc(missing, func(a any) bool {
			return strings.HasPrefix(fmt.Sprint(a), fmt.Sprint(l.Fields["service"], ":"))
		})
	})
}

// conclusion says in one sentence how the request ended.
func (e *Explanation) conclusion() string {
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
	start := e.Lines[0].Time
	writeTable := func(title string, lines []LogLine) {
		rows := [][]string{{"AT (MS)", "INSTANCE", strings.ToUpper(title), "WITH"}}
		for _, l := range lines {
			at := l.Time.Sub(start)
			rows = append(rows, []string{fmt.Sprintf("%+d", at.Milliseconds()), l.Instance, l.Event, l.fieldText()})
		}
		table(out, rows)
	}
	writeTable("decision", e.Lines)
	if len(e.Known) > 0 {
		fmt.Fprintln(out)
		writeTable("known before", e.Known)
	}
}

// fieldText returns the fields that are not empty, sorted by name.
func (l LogLine) fieldText() string {
	names := slices.SortedFunc(maps.Keys(l.Fields), cmp.Compare[string])
	var parts []string
	for _, n := range names {
		if v := fmt.Sprint(l.Fields[n]); v != "" {
			parts = append(parts, n+"="+v)
		}
	}
	return strings.Join(parts, " ")
}
