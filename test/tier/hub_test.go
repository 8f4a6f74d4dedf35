package tier_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

// hubs returns the VMs that say that they run fan-outs for others.
func hubs(f *wqfakeplatform.Fleet) []*wqfakeplatform.VM {
	var out []*wqfakeplatform.VM
	for _, vm := range f.VMs {
		lines := strings.Split(vm.Log(), "\n")
		is := false
		for _, l := range lines {
			if strings.Contains(l, `"msg":"running fan-outs"`) {
				is = strings.Contains(l, `"is_hub":true`)
			}
		}
		if is {
			out = append(out, vm)
		}
	}
	return out
}

func TestLargeFleetSurvivesTheLossOfAHub(t *testing.T) {
	f := start(t, 14)
	f.Eventually(10*time.Second, func() bool { return len(hubs(f)) == 6 }) // Two in each of three zones.
	stop := load(f, 4)
	time.Sleep(time.Second)
	lost := hubs(f)[0]
	lost.Kill()
	time.Sleep(4 * time.Second)
	stop()
	checkPromises(t, f)
	for _, vm := range f.VMs {
		if vm != lost {
			must.Eq(t, http.StatusOK, f.Send(vm, http.MethodGet, "/all/x", "", time.Second).Code)
		}
	}
}
