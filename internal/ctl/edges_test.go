package ctl

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	edgeplatform "github.com/baobabsill/baobabsill/platform"
	"github.com/baobabsill/baobabsill/platform/platformtest"
)

// Guards against a report that leaves out what the store holds or how an instance
// differs from it, and against success when the store does not answer.
func TestEdgesReadsTheStore(t *testing.T) {
	store := platformtest.NewStore(t)
	r := platformtest.NewReplica(t, "s-1", "s", "east", "x")
	store.Put(platformtest.KindReplicas, r.ID, r.Spec("draining"))
	store.Put(platformtest.KindConfig, "main", platformtest.Config(7, "s"))
	store.Put(platformtest.KindEvacuations, "west", map[string]any{})
	var out bytes.Buffer
	env := Env{
		Stdout: &out, Stderr: &out, Pause: time.Millisecond,
		NewEdgeStore: func(address string) EdgeStore { return edgeplatform.NewStore(address, nil) },
		HTTP: &http.Client{Transport: statusPages{
			"10.0.0.1:9464": `{"instance":"one","zone":"east","ready":true,"config_version":6}`,
		}},
	}
	code := Run(t.Context(), env, []string{"edges", "--store", store.Address(), "--instances", "10.0.0.1:9464"})
	output := out.String()
	for _, want := range []string{"configuration version 7", "evacuated: west", "s-1", "draining", "behind", "other evacuations than the store", "knows era 0 of the store, which is in 1"} {
		if !strings.Contains(output, want) {
			t.Errorf("no %q in:\n%s", want, output)
		}
	}
	if code != 0 {
		t.Errorf("exit %d:\n%s", code, output)
	}
	store.SetUnavailable(true)
	out.Reset()
	if code := Run(t.Context(), env, []string{"edges", "--store", store.Address(), "--timeout", "300ms"}); code != 1 {
		t.Errorf("exit %d without the store, want 1:\n%s", code, out.String())
	}
}
