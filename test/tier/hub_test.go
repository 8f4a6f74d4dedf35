package tier_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

// hubVMs returns the VMs that act as hubs, which run fan-outs for other VMs,
// according to the last "running fan-outs" line of their logs.
func hubVMs(f *wqfakeplatform.Fleet) []*wqfakeplatform.VM {
	var hubs []*wqfakeplatform.VM
	for _, vm := range f.VMs {
		lines := strings.Split(vm.Log(), "\n")
		isHub := false
		for _, l := range lines {
			if strings.Contains(l, `"msg":"running fan-outs"`) {
				isHub = strings.Contains(l, `"is_hub":true`)
			}
		}
		if isHub {
			hubs = append(hubs, vm)
		}
	}
	return hubs
}

// A fleet of 14 VMs is large enough for hubs. After a hub was killed under load,
// the other VMs must serve fan-outs.
func TestFanOutContinuesAfterHubFailure(t *testing.T) {
	f := startFleet(t, 14)
	f.Eventually(10*time.Second, func() bool { return len(hubVMs(f)) == 6 }) // Two in each of the three zones.
	stop := startLoad(f, 4)
	time.Sleep(time.Second)
	killed := hubVMs(f)[0]
	killed.Kill()
	time.Sleep(4 * time.Second)
	stop()
	checkGuarantees(t, f)
	for _, vm := range f.VMs {
		if vm != killed {
			must.Eq(t, http.StatusOK, f.Send(vm, http.MethodGet, "/all/x", "", time.Second).Code)
		}
	}
}
