package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"
)

const edgeFile = `[instance]
name = front-1
zone = a
region = x
zones = a:x,b:y
caller_listen = 10.0.0.1:80
ready_listen = 10.0.0.1:81
metrics_listen = 10.0.0.1:82
peer_listen = 10.0.0.1:83
seeds = 10.0.0.1:83,10.0.0.2:83
[platform]
address = 10.0.0.9:1
contact = 5000ms
[retry]
ratio = 0.2
slack = 56
`

// Guards against a key of `baobabsill edge` whose value or default is stored in
// the wrong field.
func TestEdgeSettings(t *testing.T) {
	s, faults := ParseEdge("f", []byte(edgeFile))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if s.Zones["b"] != "y" || s.Contact != 5*time.Second || s.RetrySlack != 56 || s.Grace != 6*time.Second || len(s.Seeds) != 2 {
		t.Errorf("%+v", s)
	}
}

// Guards against a check that stops at the first fault or reports a fault without
// its line and key.
func TestEdgeSettingsReportEachFault(t *testing.T) {
	bad := strings.NewReplacer("zones = a:x,b:y", "zones = a,b:y", "caller_listen = 10.0.0.1:80", "caller_listen = host:80",
		"contact = 5000ms", "contact = 5", "ratio = 0.2", "ratio = much", "slack = 56", "slak = 56").Replace(edgeFile)
	_, faults := ParseEdge("f", []byte(bad))
	want := []string{"f:5: [instance] zones", "f:6: [instance] caller_listen", "f:13: [platform] contact", "f:15: [retry] ratio", "f:16: [retry] slak"}
	if len(faults) != len(want) {
		t.Fatalf("%d faults, want %d: %v", len(faults), len(want), faults)
	}
	for i, f := range faults {
		if !strings.HasPrefix(f.Error(), want[i]) {
			t.Errorf("fault %q, want %q", f, want[i])
		}
	}
	if _, faults := ParseEdge("f", []byte(strings.Replace(edgeFile, "region = x", "region = y", 1))); len(faults) != 1 {
		t.Errorf("zone a, declared in region x, accepted in region y: %v", faults)
	}
}

// Guards against a key in deploy/settings.ini.tmpl that `baobabsill edge` does
// not know, or a required key that the template lacks.
func TestTemplateNamesKnownKeys(t *testing.T) {
	text, err := os.ReadFile("../../deploy/settings.ini.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	_, faults := ParseEdge("f", regexp.MustCompile(`\{\{.*\}\}`).ReplaceAll(text, []byte("1")))
	for _, f := range faults {
		if strings.Contains(f.Error(), "unknown") || strings.Contains(f.Error(), "missing") {
			t.Error(f)
		}
	}
}
