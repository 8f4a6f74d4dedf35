package tier_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"syscall"
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

// hubZoneOf returns the availability zone of the hub that ran a request, by the line of
// the VM that got it; empty when it ran the request itself.
func hubZoneOf(f *wqfakeplatform.Fleet, vm *wqfakeplatform.VM, requestID string) string {
	var line struct {
		Message   string `json:"msg"`
		RequestID string `json:"request_id"`
		HubZone   string `json:"hub_zone"`
	}
	f.Eventually(5*time.Second, func() bool {
		return slices.ContainsFunc(strings.Split(vm.Log(), "\n"), func(l string) bool {
			return json.Unmarshal([]byte(l), &line) == nil && line.Message == "request" && line.RequestID == requestID
		})
	})
	return line.HubZone
}

// Zone c has VMs but no searchers, so that zones a and b run its fan-outs. When their
// hubs freeze, other VMs must do so, and no request may run too often.
func TestZoneWithoutSearchersIsServedWhileOtherHubsAreFrozen(t *testing.T) {
	f := startFleet(t, 14)
	f.Eventually(10*time.Second, func() bool { return len(hubVMs(f)) == 6 })
	hubs := hubVMs(f)
	entry := f.VMs[slices.IndexFunc(f.VMs, func(vm *wqfakeplatform.VM) bool { return vm.Zone == "c" && !slices.Contains(hubs, vm) })]
	reply := f.Send(entry, http.MethodGet, "/all/x", "", time.Second)
	must.Eq(t, http.StatusOK, reply.Code)
	must.SliceContains(t, []string{"a", "b"}, hubZoneOf(f, entry, reply.RequestID))
	for _, vm := range hubs {
		if vm.Zone != "c" {
			vm.Signal(syscall.SIGSTOP)
			defer vm.Signal(syscall.SIGCONT)
		}
	}
	time.Sleep(600 * time.Millisecond) // A hub that replied half a second ago is not asked whether it is there.
	for range 5 {
		must.Eq(t, http.StatusOK, f.Send(entry, http.MethodGet, "/all/x", "", time.Second).Code)
	}
	checkGuarantees(t, f)
}
