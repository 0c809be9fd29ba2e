package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/baobabsill/baobabsill/platform/platformtest"
)

// BenchmarkQuery measures a query over 90 shards, the size of the largest
// deployment. The figures include the processor time of the replicas' stand-ins.
func BenchmarkQuery(b *testing.B) {
	d := deployShards(b, 90)
	req := d.request("GET", "/all/x", "")
	for b.Loop() {
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != 200 {
			b.Fatal(resp.StatusCode)
		}
	}
}

// deployShards deploys one replica for each of n services. A query goes to all
// services.
func deployShards(tb testing.TB, n int) *deployment {
	var names []string
	d := newDeployment(tb)
	for i := range n {
		s := fmt.Sprintf("s%d", i)
		names = append(names, s)
		r := platformtest.NewReplica(tb, s+"-1", s, "near", strings.Repeat("x", 400))
		d.store.Put(platformtest.KindReplicas, r.ID, r.Spec("ready"))
	}
	d.store.Put(platformtest.KindConfig, "main", platformtest.Config(1, names...))
	d.start()
	return d
}
