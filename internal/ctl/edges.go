package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
	"github.com/baobabsill/baobabsill/internal/follow"
	"github.com/baobabsill/baobabsill/internal/status"
)

// EdgeStore is the part of the store of `baobabsill edge` that the command edges
// reads. *Store of the package baobabsill/platform implements it.
type EdgeStore interface {
	Config() follow.Source[*catalog.Config]
	Replicas() follow.Source[catalog.Replica]
	Evacuations() follow.Source[struct{}]
	Instances() follow.Source[catalog.Instance]
}

// EdgesReport shows the contents of the store beside the state of the instances that
// use it.
type EdgesReport struct {
	// Store is nil if it was not asked or did not answer.
	Store     *StoreReport         `json:"store,omitempty"`
	Instances []EdgeInstanceReport `json:"instances"`
}

// StoreReport is what the store holds.
type StoreReport struct {
	ConfigVersion int64             `json:"config_version"`
	Era           int64             `json:"era"`
	Evacuated     []string          `json:"evacuated"`
	InstanceNames []string          `json:"daemons"`
	Replicas      []catalog.Replica `json:"replicas"`
}

// EdgeInstanceReport is the answer of one instance. Document is nil if there is
// none, and Error says why.
type EdgeInstanceReport struct {
	Address  string               `json:"address"`
	Error    string               `json:"error,omitempty"`
	Document *status.EdgeDocument `json:"document,omitempty"`
}

// reportEdges reads the store, unless its address is empty, and asks the instances.
func reportEdges(ctx context.Context, env Env, store string, addresses []string, timeout time.Duration) Result {
	if store == "" && len(addresses) == 0 {
		return Result{Outcome: BadInput, Message: "nothing to ask: set --store or --instances"}
	}
	report := &EdgesReport{Instances: fetchEdgeReports(ctx, env.HTTP, addresses, timeout)}
	r := Result{Outcome: OK, Edges: report}
	if store != "" {
		var err error
		if report.Store, err = readStore(ctx, env.NewEdgeStore(store), timeout); err != nil {
			r.Outcome = Failed
			r.Errors = append(r.Errors, "reading the store: "+err.Error())
		}
	}
	answered := 0
	for _, i := range report.Instances {
		if i.Document != nil {
			answered++
		}
	}
	if answered < len(addresses) {
		r.Outcome = Failed
	}
	r.Message = fmt.Sprintf("%d of %s answered", answered, count(len(addresses), "instance"))
	return r
}

func readStore(ctx context.Context, store EdgeStore, timeout time.Duration) (*StoreReport, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s := &StoreReport{}
	configs, revision, err := store.Config().List(ctx)
	if err != nil {
		return nil, err
	}
	s.Era = revision.Era
	for _, c := range configs {
		if c.Valid {
			s.ConfigVersion = max(s.ConfigVersion, c.Value.Version)
		}
	}
	replicas, _, err := store.Replicas().List(ctx)
	if err != nil {
		return nil, err
	}
	for _, r := range replicas {
		if r.Valid {
			s.Replicas = append(s.Replicas, r.Value)
		}
	}
	slices.SortFunc(s.Replicas, func(a, b catalog.Replica) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	if s.Evacuated, err = listNames(ctx, store.Evacuations()); err != nil {
		return nil, err
	}
	s.InstanceNames, err = listNames(ctx, store.Instances())
	return s, err
}

// listNames returns the sorted names of the listed objects.
func listNames[T any](ctx context.Context, source follow.Source[T]) ([]string, error) {
	items, _, err := source.List(ctx)
	var sorted []string
	for _, i := range items {
		sorted = append(sorted, i.Name)
	}
	slices.Sort(sorted)
	return sorted, err
}

func fetchEdgeReports(ctx context.Context, client *http.Client, addresses []string, timeout time.Duration) []EdgeInstanceReport {
	reports := make([]EdgeInstanceReport, len(addresses))
	inParallel(len(addresses), func(n int) {
		reports[n].Address = addresses[n]
		var d status.EdgeDocument
		if err := fetchStatus(ctx, client, addresses[n], timeout, &d); err != nil {
			reports[n].Error = err.Error()
			return
		}
		reports[n].Document = &d
	})
	return reports
}

func renderEdges(e *EdgesReport, out io.Writer) {
	if s := e.Store; s != nil {
		fmt.Fprintf(out, "store: configuration version %d, %s, evacuated: %s\n\n", s.ConfigVersion,
			count(len(s.InstanceNames), "instance"), cmp.Or(strings.Join(s.Evacuated, ", "), "none"))
		rows := [][]string{{"REPLICA", "SERVICE", "ZONE", "ADDRESS", "STATE"}}
		for _, r := range s.Replicas {
			state := pick(r.Draining, "draining", "ready")
			if r.WarmupLeft > 0 {
				state += ", cold"
			}
			rows = append(rows, []string{r.ID, r.Service, r.Zone, r.Address, state})
		}
		table(out, rows)
		fmt.Fprintln(out)
	}
	rows := [][]string{{"INSTANCE", "ZONE", "ADDRESS", "READY", "CONFIG", "IN FLIGHT", "NOTES"}}
	for _, i := range e.Instances {
		d := i.Document
		if d == nil {
			rows = append(rows, []string{"", "", i.Address, "no answer", "", "", i.Error})
			continue
		}
		rows = append(rows, []string{d.Instance, d.Zone, i.Address, pick(d.Ready, "yes", "no"), fmt.Sprint(d.ConfigVersion), fmt.Sprint(d.InFlight), strings.Join(e.notes(d), ", ")})
	}
	if len(rows) > 1 {
		table(out, rows)
	}
}

// notes lists what an operator may have to look into: a lost store, zones
// that are evacuated, differences from the store, and ejected replicas.
func (e *EdgesReport) notes(d *status.EdgeDocument) []string {
	var notes []string
	if d.StoreLost {
		notes = append(notes, "store lost")
	}
	if len(d.Evacuated) > 0 {
		notes = append(notes, "evacuated: "+strings.Join(d.Evacuated, " "))
	}
	if s := e.Store; s != nil {
		if d.ConfigVersion < s.ConfigVersion {
			notes = append(notes, "behind")
		}
		if d.StoreEra < s.Era {
			notes = append(notes, fmt.Sprintf("knows era %d of the store, which is in %d", d.StoreEra, s.Era))
		}
		if !slices.Equal(d.Evacuated, s.Evacuated) {
			notes = append(notes, "other evacuations than the store")
		}
	}
	for _, r := range d.Replicas {
		if r.Ejected {
			notes = append(notes, r.ID+" ejected")
		}
		if r.Leaving {
			notes = append(notes, r.ID+" leaving")
		}
		if r.PausedMS > 0 {
			notes = append(notes, fmt.Sprintf("%s paused for %d ms", r.ID, r.PausedMS))
		}
		if r.RateLimit != nil {
			notes = append(notes, fmt.Sprintf("%s limited to %g/s", r.ID, r.RateLimit.PerSecond))
		}
	}
	return notes
}
