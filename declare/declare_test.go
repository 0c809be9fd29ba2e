package declare

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against contradicting declarations that are printed, and against an error
// that does not name the line of the declaration.
func TestPrintReportsEachContradictionWithItsLine(t *testing.T) {
	c := New("Bad Name")
	c.Service("desk").Replicas(2).Slots(2).BearsCold(3).Connections(25)
	c.Service("desk").Replicas(0).Slots(2).
		Connections(5)
	c.Service("press").Replicas(1).Slots(0).Connections(9).Phase("old")
	c.Search("allergen", ClassComplete, "desk").Priority(PriorityBrowse)
	c.Search("orders", "some", "desk", "nowhere", "desk")
	c.Operation("reprint")
	c.RetireTarget("desk-1")
	c.RetireTarget("desk-1")
	var out bytes.Buffer
	err := c.Print(&out)
	if err == nil || out.Len() != 0 {
		t.Fatalf("error %v, output %q", err, out.String())
	}
	want := strings.TrimSpace(`
declare_test.go:12: name: bad name "Bad Name": want 1 to 63 of a-z, 0-9 and '-', no '-' at the ends
declare_test.go:12: zones: 0 declared: want 1 to 64
declare_test.go:13: services[0].bears_cold: service "desk": bears_cold 3 is more than slots 2
declare_test.go:14: services[1].name: duplicate name "desk", first in services[0]
declare_test.go:14: services[1].replicas: service "desk": 0 is out of range: want 1 to 1000
declare_test.go:15: services[1].connections: service "desk": 5 connections are too few for 2 slots: a handover needs 6
declare_test.go:16: services[2].phase: bad value "old": want one of ["steady" "retiring" "new"]
declare_test.go:16: services[2].slots: service "press": 0 is out of range: want 1 to 1000
declare_test.go:17: searches[0].priority: search "allergen": class complete contradicts priority browse; a complete search is always critical
declare_test.go:18: searches[1].class: bad value "some": want one of ["partial" "complete"]
declare_test.go:18: searches[1].services[1]: search "orders" names the unknown service "nowhere"
declare_test.go:18: searches[1].services[2]: search "orders" names the service "desk" twice
declare_test.go:19: operations[0].services: operation "reprint" names no service
declare_test.go:21: retired_targets[1]: duplicate name "desk-1", first in retired_targets[0]`)
	if got := err.Error(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// Guards against input that encoding/json accepts but does not decode as the operator
// wrote it, such as unknown or repeated fields.
func TestParseIsStrict(t *testing.T) {
	for input, want := range map[string]string{
		`{"name":"a","slotz":1}`:  `line 1: unknown field "slotz"`,
		"{\n\"Name\":\"a\"}":      `line 2: unknown field "Name"`,
		`{"name":"a","slots":1}`:  `line 1: json: unknown field "slots"`,
		`{"name":"a","name":"b"}`: `line 1: repeated field "name"`,
		`{"name":null}`:           `line 1: null is not allowed`,
		"{\"name\":\"a\"}\n{}":    `line 2: trailing data after the document`,
		`{"name":"a"`:             `line 1: the document ends too early`,
		``:                        `line 1: the document ends too early`,
		"{\n\"services\":[\n{\"slots\":\"two\"}]}": `line 3: services.slots: wrong type string, want int`,
		`{"zones":[{"out":"yes"}]}`:                `line 1: zones.out: wrong type string, want bool`,
		`{"name":"a",}`:                            `line 1: invalid character '}'`,
		`[]`:                                       `line 1: `,
	} {
		if _, err := Parse([]byte(input)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: got %v, want %s", input, err, want)
		}
	}
}

// Guards against a configuration that leaves no zone in service.
func TestValidateRefusesAllZonesOut(t *testing.T) {
	c := New("a")
	c.ZoneOut("east")
	c.Service("desk").Replicas(2).Slots(2).Connections(6)
	if err := c.Print(&bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), "every zone is out") {
		t.Errorf("got %v", err)
	}
}
