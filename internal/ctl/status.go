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
	// statusCalls bounds the instances that are asked at once.
	statusCalls = 32
)

// StatusReport is the view of all instances that were asked.
type StatusReport struct {
	PlatformAvailable bool `json:"platform_available"`
	// ConfigVersion is the version at the platform; 0 if it is not known.
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

// statusOf asks the instances that the platform lists. When addresses are
// given, it asks these and those that they know of instead, so that it works
// while the platform is down. c is nil without a platform address.
func statusOf(ctx context.Context, c *configs, client *http.Client, addresses []string, timeout time.Duration) Result {
	report := &StatusReport{}
	r := Result{Status: report}
	if c != nil {
		now, err := c.read(ctx)
		report.PlatformAvailable = err == nil || now.version > 0
		report.ConfigVersion = now.version
		if err != nil {
			r.Warnings = append(r.Warnings, "reading the configuration: "+err.Error())
		}
	}
	var found []InstanceReport
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
			one := InstanceReport{Name: o.Name}
			if err := json.Unmarshal(o.Value, &i); err != nil {
				one.Error = "instance object: " + err.Error()
			}
			one.Zone, one.Address = i.Zone, i.CallerAddress
			found = append(found, one)
		}
	}
	for _, a := range addresses {
		found = append(found, InstanceReport{Address: a})
	}
	ask(ctx, client, found, timeout)
	if len(addresses) > 0 {
		more := others(found)
		ask(ctx, client, more, timeout)
		found = append(found, more...)
	}
	slices.SortFunc(found, func(a, b InstanceReport) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Address, b.Address))
	})
	report.Instances = found
	silent := 0
	for _, i := range found {
		if i.Document == nil {
			silent++
		}
	}
	r.Version = report.ConfigVersion
	r.Outcome = OK
	r.Message = fmt.Sprintf("%d of %s answered", len(found)-silent, count(len(found), "instance"))
	if silent > 0 || len(found) == 0 {
		r.Outcome = Failed
	}
	return r
}

// others returns the instances that the answers name and that were not asked.
func others(asked []InstanceReport) []InstanceReport {
	known := map[string]bool{}
	for _, i := range asked {
		known[i.Address] = true
		if i.Document != nil {
			known[i.Document.Instance] = true
		}
	}
	var out []InstanceReport
	for _, i := range asked {
		if i.Document == nil {
			continue
		}
		for _, o := range i.Document.Instances {
			if o.CallerAddress == "" || known[o.CallerAddress] || known[o.Name] {
				continue
			}
			known[o.CallerAddress] = true
			out = append(out, InstanceReport{Name: o.Name, Zone: o.Zone, Address: o.CallerAddress})
		}
	}
	return out
}

// ask fills in the answers of the instances.
func ask(ctx context.Context, client *http.Client, instances []InstanceReport, timeout time.Duration) {
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

// inParallel calls f for 0 to n-1, up to statusCalls at once.
func inParallel(n int, f func(i int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, statusCalls)
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
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

// targets returns each target once, preferably as its holder reports it.
func (s *StatusReport) targets() []status.Target {
	type view struct {
		target status.Target
		own    bool
	}
	views := map[string]view{}
	for _, i := range s.Instances {
		if i.Document == nil {
			continue
		}
		for _, t := range i.Document.Targets {
			own := t.Holder == i.Document.Instance
			if old, ok := views[t.Name]; !ok || own && !old.own {
				views[t.Name] = view{t, own}
			}
		}
	}
	var out []status.Target
	for _, v := range views {
		out = append(out, v.target)
	}
	slices.SortFunc(out, func(a, b status.Target) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// zones returns each zone as the instance with the newest configuration sees it.
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
	var out []status.Zone
	for _, z := range views {
		out = append(out, z)
	}
	slices.SortFunc(out, func(a, b status.Zone) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
