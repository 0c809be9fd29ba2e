package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/baobabsill/baobabsill/internal/status"
)

const (
	kindInstance = "instance"

	// maxStatusBytes bounds the reply of one instance.
	maxStatusBytes = 16 << 20
	// maxParallelCalls bounds the number of instances that are asked at once.
	maxParallelCalls = 32
)

// StatusReport is the view of all instances that were asked.
type StatusReport struct {
	PlatformAvailable bool `json:"platform_available"`
	// ConfigVersion is the version that the platform holds; 0 if it is not known.
	ConfigVersion int64            `json:"config_version"`
	Instances     []InstanceReport `json:"instances"`
}

// InstanceReport is the answer of one instance. Document is nil if there is
// none, and Error says why.
type InstanceReport struct {
	Name     string           `json:"name,omitempty"`
	Zone     string           `json:"zone,omitempty"`
	Address  string           `json:"address"`
	Error    string           `json:"error,omitempty"`
	Document *status.Document `json:"document,omitempty"`
}

// reportStatus asks the instances that the platform lists. If addresses are given,
// it instead asks these and the instances that they know of, so that it works while
// the platform is down. c is nil without a platform address.
func reportStatus(ctx context.Context, c *configs, client *http.Client, addresses []string, timeout time.Duration) Result {
	report := &StatusReport{}
	r := Result{Status: report}
	if c != nil {
		inForce, err := c.read(ctx)
		report.PlatformAvailable = err == nil || inForce.version > 0
		report.ConfigVersion = inForce.version
		if err != nil {
			r.Warnings = append(r.Warnings, "reading the configuration: "+err.Error())
		}
	}
	var instances []InstanceReport
	if len(addresses) == 0 {
		objects, _, err := c.platform.List(ctx, kindInstance)
		if err != nil {
			failed := platformFailure("listing the instances", err)
			failed.Errors = append(failed.Errors, "name instances with --instances to ask them directly")
			return failed
		}
		for _, o := range objects {
			var i struct {
				Zone          string `json:"zone"`
				CallerAddress string `json:"caller_address"`
			}
			listed := InstanceReport{Name: o.Name}
			if err := json.Unmarshal(o.Value, &i); err != nil {
				listed.Error = "instance object: " + err.Error()
			}
			listed.Zone, listed.Address = i.Zone, i.CallerAddress
			instances = append(instances, listed)
		}
	}
	for _, a := range addresses {
		instances = append(instances, InstanceReport{Address: a})
	}
	fetchDocuments(ctx, client, instances, timeout)
	if len(addresses) > 0 {
		unasked := unaskedInstances(instances)
		fetchDocuments(ctx, client, unasked, timeout)
		instances = append(instances, unasked...)
	}
	slices.SortFunc(instances, func(a, b InstanceReport) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Address, b.Address))
	})
	report.Instances = instances
	unanswered := 0
	for _, i := range instances {
		if i.Document == nil {
			unanswered++
		}
	}
	r.Version = report.ConfigVersion
	r.Outcome = OK
	r.Message = fmt.Sprintf("%d of %s answered", len(instances)-unanswered, count(len(instances), "instance"))
	if unanswered > 0 || len(instances) == 0 {
		r.Outcome = Failed
	}
	return r
}

// unaskedInstances returns the instances that the answers list and that were not
// asked themselves.
func unaskedInstances(asked []InstanceReport) []InstanceReport {
	known := map[string]bool{}
	for _, i := range asked {
		known[i.Address] = true
		if i.Document != nil {
			known[i.Document.Instance] = true
		}
	}
	var unasked []InstanceReport
	for _, i := range asked {
		if i.Document == nil {
			continue
		}
		for _, o := range i.Document.Instances {
			if o.CallerAddress == "" || known[o.CallerAddress] || known[o.Name] {
				continue
			}
			known[o.CallerAddress] = true
			unasked = append(unasked, InstanceReport{Name: o.Name, Zone: o.Zone, Address: o.CallerAddress})
		}
	}
	return unasked
}

// fetchDocuments asks the instances and fills in their answers. It skips those that
// already have an error.
func fetchDocuments(ctx context.Context, client *http.Client, instances []InstanceReport, timeout time.Duration) {
	inParallel(len(instances), func(n int) {
		i := &instances[n]
		if i.Error != "" {
			return
		}
		var d status.Document
		if err := fetchStatus(ctx, client, i.Address, timeout, &d); err != nil {
			i.Error = err.Error()
			return
		}
		i.Name, i.Zone, i.Document = d.Instance, d.Zone, &d
	})
}

// inParallel calls f for 0 to n-1, up to maxParallelCalls at once.
func inParallel(n int, f func(i int)) {
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelCalls)
	for i := range n {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			f(i)
		})
	}
	wg.Wait()
}

// fetchStatus decodes the status document of an instance into d.
func fetchStatus(ctx context.Context, client *http.Client, address string, timeout time.Duration, d any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(d)
}

// targets returns each target once, as its holder reports it if the holder
// answered. The result is sorted by name.
func (s *StatusReport) targets() []status.Target {
	type view struct {
		target     status.Target
		fromHolder bool
	}
	views := map[string]view{}
	for _, i := range s.Instances {
		if i.Document == nil {
			continue
		}
		for _, t := range i.Document.Targets {
			fromHolder := t.Holder == i.Document.Instance
			if old, ok := views[t.Name]; !ok || fromHolder && !old.fromHolder {
				views[t.Name] = view{t, fromHolder}
			}
		}
	}
	var sorted []status.Target
	for _, v := range views {
		sorted = append(sorted, v.target)
	}
	slices.SortFunc(sorted, func(a, b status.Target) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}

// zones returns each zone as the instance with the newest configuration reports it,
// and with the newest placement among these. The result is sorted by name.
func (s *StatusReport) zones() []status.Zone {
	newest := map[string]int64{}
	views := map[string]status.Zone{}
	for _, i := range s.Instances {
		if i.Document == nil {
			continue
		}
		for _, z := range i.Document.Zones {
			old, ok := views[z.Name]
			if v := i.Document.ConfigVersion; !ok || v > newest[z.Name] ||
				v == newest[z.Name] && z.PlacementEpoch > old.PlacementEpoch {
				views[z.Name], newest[z.Name] = z, v
			}
		}
	}
	var sorted []status.Zone
	for _, z := range views {
		sorted = append(sorted, z)
	}
	slices.SortFunc(sorted, func(a, b status.Zone) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}
