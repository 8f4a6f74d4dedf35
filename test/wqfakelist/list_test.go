package wqfakelist_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/io/wqvmlist"
	"wisteriaquay/test/wqfakelist"
)

func TestChangeIsVisibleAfterLag(t *testing.T) {
	s := &wqfakelist.Server{}
	h := httptest.NewServer(s.Handler())
	defer h.Close()
	c := &wqvmlist.Client{URL: h.URL, Timeout: 5 * time.Second, HTTP: h.Client()}
	first := []wqvmlist.VM{{ID: "vm1", Address: "127.0.0.1:7001", Zone: "a", Region: "r"}}
	s.Set(first)
	vms, err := c.List(t.Context())
	must.NoError(t, err)
	must.Eq(t, first, vms)
	s.Lag = time.Hour
	s.Set(nil)
	vms, err = c.List(t.Context())
	must.NoError(t, err)
	must.SliceEmpty(t, vms, must.Sprint("the first list is also newer than the lag"))
}
