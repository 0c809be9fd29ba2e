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

// fakePlatform is an in-memory platform with faults. Versions are global.
type fakePlatform struct {
	version int64
	objects map[string]platform.Object
	targets []platform.TargetItem
	down    bool
	// Faults of the next writes: lose answers after the effect or drop calls
	// before it; both look alike to the caller.
	lose, drop int
	downAfter  bool // with lose and drop: the platform is then down
	// racers run one by one before a write of config/main; late runs after one
	// whose answer is lost.
	racers []func()
	late   func()
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
	if kind == kindConfig && len(f.racers) > 0 {
		racer, rest := f.racers[0], f.racers[1:]
		f.racers = nil // the write of the racer itself is not raced
		racer()
		f.racers = rest
	}
	if f.down {
		return 0, platform.ErrUnavailable.New("down")
	}
	if f.drop > 0 && kind == kindConfig {
		f.drop--
		return 0, f.loseAnswer(kind)
	}
	if now := f.objects[kind+"/"+name].Version; now != ifVersion {
		return 0, platform.Conflict(now)
	}
	f.version++
	f.objects[kind+"/"+name] = platform.Object{Kind: kind, Name: name, Version: f.version, Value: value}
	if f.lose > 0 {
		f.lose--
		return 0, f.loseAnswer(kind)
	}
	return f.version, nil
}

func (f *fakePlatform) loseAnswer(kind string) error {
	f.down = f.downAfter
	if late := f.late; late != nil && kind == kindConfig {
		f.late = nil
		late()
	}
	return platform.ErrUnknown.New("answer lost")
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

// pages answers /status by host, instead of the network.
type pages map[string]string

func (p pages) RoundTrip(r *http.Request) (*http.Response, error) {
	body, ok := p[r.URL.Host]
	if !ok {
		return nil, errors.New("connection refused")
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), Request: r}, nil
}

// Guards against sessions in which a lost answer, a race or an outage is
// reported as something else than what happened, or leaves a gap in the
// history.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := &fakePlatform{objects: map[string]platform.Object{}}
		files, hosts := map[string][]byte{}, pages{}
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
					f.racers = append(f.racers, func() { run(l) })
				}
			case "late": // the line runs after the next write of config/main without an answer
				f.late = func() { run(lines[0]) }
			case "platform":
				f.down, f.downAfter = d.HasArg("down"), d.HasArg("then-down")
				d.MaybeScanArgs(t, "lose", &f.lose)
				d.MaybeScanArgs(t, "drop", &f.drop)
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

// Guards against a script that takes a call without a command for a success.
func TestNoCommandIsBadInput(t *testing.T) {
	if code := Run(context.Background(), Env{Stdout: io.Discard, Stderr: io.Discard}, nil); code != 2 {
		t.Errorf("exit %d, want 2", code)
	}
}

// Guards against a field of the document that Changes does not compare; a
// change of it alone would be taken for no change and never be written.
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
	for n := range historyKept + 10 {
		r := c.change(context.Background(), declare.Document{Name: fmt.Sprint("v", n)}, -1, "test")
		if r.Outcome != OK || r.Warnings != nil {
			t.Fatalf("change %d: %+v", n, r)
		}
	}
	entries, _, err := c.history(context.Background())
	if err != nil || len(entries) != historyKept || entries[len(entries)-1].document.Name != fmt.Sprint("v", historyKept+8) {
		t.Fatalf("%d entries kept, error %v", len(entries), err)
	}
}
