package e2e_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakesearcher"
	"wisteriaquay/test/wqprocess"
)

// Guards against missing shards in a fleet without faults: three VMs, the store,
// the VM list and 100 searchers.
func TestQueriesOfAHundredSearchersAreComplete(t *testing.T) {
	f := wqprocess.Start(t, wqprocess.Options{
		VMs: 3, Shards: 50, Replicas: 2,
		SearcherSettings: wqfakesearcher.Settings{Slots: 3, Connections: 30, Batch: 8, ServiceMillis: 2},
	})
	f.WaitServing()
	for i := range 60 {
		must.NoError(t, sendQuery(t.Context(), f.VMs[i%3], fmt.Sprintf("q-%d", i)))
	}
	must.SliceLen(t, 100, f.Searchers)
}
