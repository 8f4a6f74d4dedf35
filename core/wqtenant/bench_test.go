package wqtenant_test

import (
	"fmt"
	"runtime"
	"testing"

	"wisteriaquay/core/wqtenant"
)

// BenchmarkRegistry builds the registry of 10,000 accounts with two keys each, and reports
// the bytes that it keeps.
func BenchmarkRegistry(b *testing.B) {
	var before, after runtime.MemStats
	var r *wqtenant.Registry
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		tenants := make([]wqtenant.Tenant, 10_000)
		for i := range tenants {
			tenants[i] = wqtenant.Tenant{Name: fmt.Sprintf("tenant-%d", i), KeyDigests: []wqtenant.Digest{wqtenant.DigestOf(fmt.Sprint("a", i)), wqtenant.DigestOf(fmt.Sprint("b", i))}}
		}
		r = wqtenant.New(tenants)
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "kept-bytes")
	runtime.KeepAlive(r)
}

func BenchmarkIdentify(b *testing.B) {
	r := registry()
	values := []string{"Bearer " + key}
	for b.Loop() {
		r.Identify(values)
	}
}
