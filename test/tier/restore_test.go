package tier_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/test/wqfakeplatform"
)

// addRoute returns the configuration with one more route to the searchers of orders.
func addRoute(c wqfakeplatform.Configuration, name string) wqfakeplatform.Configuration {
	c.Version++
	route := c.Routes[1]
	route.Name, route.Prefix = name, "/"+name+"/"
	c.Routes = append(c.Routes[:len(c.Routes):len(c.Routes)], route)
	return c
}

// serves reports whether a VM serves the route with this name.
func serves(f *wqfakeplatform.Fleet, vm *wqfakeplatform.VM, name string) bool {
	return f.Send(vm, http.MethodGet, "/"+name+"/x", "", time.Second).Code == http.StatusOK
}

func allServe(f *wqfakeplatform.Fleet, name string) func() bool {
	return func() bool {
		for _, vm := range f.VMs {
			if !serves(f, vm, name) {
				return false
			}
		}
		return true
	}
}

// restoreWithLosses restores the store from a copy that lacks a route and the order to take
// out zone b. It returns the configuration that was lost.
func restoreWithLosses(f *wqfakeplatform.Fleet) wqfakeplatform.Configuration {
	stored := f.Store.Copy()
	for i := range 10 { // Revisions after the restore stay below those from before.
		f.Register(f.SearchersOf("orders")[0], "ready", 2+i)
	}
	lost := addRoute(f.Configuration(1, initialShards), "lost")
	f.PutConfiguration(lost)
	f.Store.Put("op/evacuate/b", struct{}{})
	f.Eventually(wqfakeplatform.MaxApplyTime, allServe(f, "lost"))
	f.Store.SetDown(true)
	time.Sleep(500 * time.Millisecond)
	f.Store.Restore(stored)
	f.Store.SetDown(false)
	return lost
}

// Guards against a restore of the store that makes VMs go back to an older state, or
// ignore all later changes.
func TestChangesAfterARestoreOfTheStoreAreInForceInTime(t *testing.T) {
	f := startFleet(t, 3)
	lost := restoreWithLosses(f)
	before := executionsIn(f, "b")
	for restored := time.Now(); time.Since(restored) < 1500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
		must.True(t, allServe(f, "lost")(), must.Sprint("a route of a confirmed configuration is gone"))
	}
	must.Eq(t, before, executionsIn(f, "b"), must.Sprint("a zone that is out got requests"))

	f.PutConfiguration(lost)
	f.Store.Put("op/evacuate/b", struct{}{})
	f.PutConfiguration(addRoute(lost, "next"))
	f.Eventually(wqfakeplatform.MaxApplyTime, allServe(f, "next"))
	must.Eq(t, before, executionsIn(f, "b"))
	f.Store.Remove("op/evacuate/b")
	f.Eventually(wqfakeplatform.MaxApplyTime, func() bool { return allServe(f, "next")() && executionsIn(f, "b") > before })
	checkGuarantees(t, f)
}

// Guards against a VM that starts between the restore and the second writing of what was
// lost, and takes the copy for the newest state.
func TestVMThatStartsAfterARestoreServesWhatWasConfirmed(t *testing.T) {
	f := startFleet(t, 3)
	lost := restoreWithLosses(f)
	before := executionsIn(f, "b")
	restarted := f.VMs[0]
	restarted.Signal(syscall.SIGKILL)
	restarted.Kill()
	restarted.Start()
	f.WaitReady()
	f.Eventually(time.Second, func() bool { return serves(f, restarted, "lost") })
	for range 20 {
		must.True(t, serves(f, restarted, "lost"))
	}
	must.Eq(t, before, executionsIn(f, "b"), must.Sprint("a zone that is out got requests"))
	f.PutConfiguration(addRoute(lost, "next"))
	f.Eventually(wqfakeplatform.MaxApplyTime, allServe(f, "next"))
	checkGuarantees(t, f)
}
