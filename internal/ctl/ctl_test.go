package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/platform"
)

// fakePlatform is an in-memory platform with faults. All objects share one
// sequence of versions.
type fakePlatform struct {
	version int64
	objects map[string]platform.Object
	targets []platform.TargetItem
	down    bool
	// loseAnswers is the number of next writes that take effect without an answer,
	// dropCalls that of next writes of config/main without an effect. Both return
	// the same error.
	loseAnswers, dropCalls int
	downAfter              bool // the platform is down after such a write
	// Each of beforeConfigWrites runs before one write of config/main, and
	// afterLostConfigWrite after the next one without an answer.
	beforeConfigWrites   []func()
	afterLostConfigWrite func()
}

func (f *fakePlatform) Get(_ context.Context, kind, name string) (platform.Object, error) {
	if f.down {
		return platform.Object{}, platform.ErrUnavailable.New("down")
	}
	o, ok := f.objects[kind+"/"+name]
	if !ok {
		return o, platform.ErrNotFound.New("%s/%s", kind, name)
	}
	return o, nil
}

func (f *fakePlatform) Put(_ context.Context, kind, name string, value json.RawMessage, ifVersion int64) (int64, error) {
	if kind == kindConfig && len(f.beforeConfigWrites) > 0 {
		next, others := f.beforeConfigWrites[0], f.beforeConfigWrites[1:]
		f.beforeConfigWrites = nil // not for the writes of next itself
		next()
		f.beforeConfigWrites = others
	}
	if f.down {
		return 0, platform.ErrUnavailable.New("down")
	}
	if f.dropCalls > 0 && kind == kindConfig {
		f.dropCalls--
		return 0, f.writeUnanswered(kind)
	}
	if now := f.objects[kind+"/"+name].Version; now != ifVersion {
		return 0, platform.Conflict(now)
	}
	f.version++
	f.objects[kind+"/"+name] = platform.Object{Kind: kind, Name: name, Version: f.version, Value: value}
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return 0, f.writeUnanswered(kind)
	}
	return f.version, nil
}

func (f *fakePlatform) writeUnanswered(kind string) error {
	f.down = f.downAfter
	if afterLostConfigWrite := f.afterLostConfigWrite; afterLostConfigWrite != nil && kind == kindConfig {
		f.afterLostConfigWrite = nil
		afterLostConfigWrite()
	}
	return platform.ErrOutcomeUnknown.New("answer lost")
}

func (f *fakePlatform) Delete(_ context.Context, kind, name string, _ int64) error {
	delete(f.objects, kind+"/"+name)
	return nil
}

func (f *fakePlatform) List(_ context.Context, kind string) ([]platform.Object, int64, error) {
	if f.down {
		return nil, 0, platform.ErrUnavailable.New("down")
	}
	var out []platform.Object
	for _, o := range f.objects {
		if o.Kind == kind {
			out = append(out, o)
		}
	}
	return out, f.version, nil
}

func (f *fakePlatform) Instances(context.Context) ([]platform.TargetItem, error) {
	return f.targets, nil
}

// statusPages is an HTTP transport that answers /status from a page for each host.
type statusPages map[string]string

func (p statusPages) RoundTrip(r *http.Request) (*http.Response, error) {
	body, ok := p[r.URL.Host]
	if !ok {
		return nil, errors.New("connection refused")
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), Request: r}, nil
}

// Guards against an outcome that is reported wrongly, or a gap in the history, after
// a lost answer, a concurrent change or an outage. Each file of testdata is a session
// of commands against one fake platform.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := &fakePlatform{objects: map[string]platform.Object{}}
		files, hosts := map[string][]byte{}, statusPages{}
		var out bytes.Buffer
		run := func(line string) {
			fmt.Fprintln(&out, "$", line)
			code := Run(context.Background(), Env{
				Stdin: strings.NewReader(""), Stdout: &out, Stderr: &out,
				ReadFile: func(path string) ([]byte, error) {
					if b, ok := files[path]; ok {
						return b, nil
					}
					return nil, os.ErrNotExist
				},
				NewPlatform: func(string, time.Duration) Platform { return f },
				HTTP:        &http.Client{Transport: hosts},
			}, append([]string{"--platform", "fake"}, strings.Fields(line)...))
			fmt.Fprintln(&out, "exit", code)
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out.Reset()
			lines := strings.Split(d.Input, "\n")
			switch d.Cmd {
			case "file":
				files[d.CmdArgs[0].Key] = []byte(d.Input)
			case "ctl":
				for _, l := range lines {
					run(l)
				}
			case "race": // each line runs before one of the next writes of config/main
				for _, l := range lines {
					f.beforeConfigWrites = append(f.beforeConfigWrites, func() { run(l) })
				}
			case "late": // the line runs after the next write of config/main without an answer
				f.afterLostConfigWrite = func() { run(lines[0]) }
			case "platform":
				f.down, f.downAfter = d.HasArg("down"), d.HasArg("then-down")
				d.MaybeScanArgs(t, "lose", &f.loseAnswers)
				d.MaybeScanArgs(t, "drop", &f.dropCalls)
			case "target":
				f.targets = append(f.targets, platform.TargetItem{Name: d.CmdArgs[0].Key})
			case "page":
				hosts[strings.TrimSpace(lines[0])] = strings.Join(lines[1:], "\n")
			case "object": // written without baobabsillctl
				f.version++
				kind, name, _ := strings.Cut(d.CmdArgs[0].Key, "/")
				f.objects[kind+"/"+name] = platform.Object{Kind: kind, Name: name, Version: f.version, Value: json.RawMessage(d.Input)}
			case "objects":
				for key, o := range f.objects {
					lines = append(lines, fmt.Sprintf("%s version %d", key, o.Version))
				}
				slices.Sort(lines)
				return strings.TrimSpace(strings.Join(lines, "\n"))
			default:
				t.Fatalf("unknown directive %s", d.Cmd)
			}
			return out.String()
		})
	})
}

// Guards against a call without a command that succeeds: a script would take it for
// a change that was made.
func TestNoCommandIsBadInput(t *testing.T) {
	if code := Run(context.Background(), Env{Stdout: io.Discard, Stderr: io.Discard}, nil); code != 2 {
		t.Errorf("exit %d, want 2", code)
	}
}

// Guards against a field of the document that Changes does not compare: a change of
// it alone would be reported as unchanged and never be written.
func TestChangesComparesEveryField(t *testing.T) {
	base := func() *declare.Document {
		return &declare.Document{
			Name: "a", Zones: []declare.Zone{{Name: "z"}}, Services: []declare.Service{{Name: "s"}},
			Searches:       []declare.Search{{Name: "q", Services: []string{"s"}}},
			Operations:     []declare.Operation{{Name: "o", Services: []string{"s"}}},
			RetiredTargets: []string{"t"},
		}
	}
	var visit func(path string, v func(*declare.Document) reflect.Value)
	visit = func(path string, v func(*declare.Document) reflect.Value) {
		d := base()
		switch x := v(d); x.Kind() {
		case reflect.Struct:
			for i := range x.NumField() {
				visit(path+"."+x.Type().Field(i).Name, func(d *declare.Document) reflect.Value { return v(d).Field(i) })
			}
			return
		case reflect.Slice:
			visit(path+"[0]", func(d *declare.Document) reflect.Value { return v(d).Index(0) })
			return
		case reflect.String:
			x.SetString("other")
		case reflect.Int:
			x.SetInt(7)
		case reflect.Bool:
			x.SetBool(true)
		default:
			t.Fatalf("%s: unexpected kind %s", path, x.Kind())
		}
		if len(Changes(*base(), *d)) == 0 {
			t.Errorf("%s is not compared", path)
		}
	}
	visit("document", func(d *declare.Document) reflect.Value { return reflect.ValueOf(d).Elem() })
}

// Guards against a history that grows until one list reply cannot hold it.
func TestHistoryIsBounded(t *testing.T) {
	f := &fakePlatform{objects: map[string]platform.Object{}}
	c := &configs{platform: f}
	for n := range maxHistoryVersions + 10 {
		r := c.checkAndReplace(context.Background(), declare.Document{Name: fmt.Sprint("v", n)}, -1, "test")
		if r.Outcome != OK || r.Warnings != nil {
			t.Fatalf("change %d: %+v", n, r)
		}
	}
	entries, _, err := c.history(context.Background())
	if err != nil || len(entries) != maxHistoryVersions || entries[len(entries)-1].document.Name != fmt.Sprint("v", maxHistoryVersions+8) {
		t.Fatalf("%d entries kept, error %v", len(entries), err)
	}
}
