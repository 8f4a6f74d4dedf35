package wqpeer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqroute"
)

// FuzzItems decodes a peer's reply with items.
func FuzzItems(f *testing.F) {
	f.Add(`{"as_of":9,"whole":true,"items":[{"key":"servers/a","text":"{}","revision":8,"age_millis":5},{"key":"b","value":"eA==","revision":9,"removed":true}]}`, false)
	f.Add(`{"as_of":9,"items":[{"key":"a","age_millis":-9223372036854775808}]}`, false)
	f.Add(`{"as_of":1e30}`, true)
	f.Fuzz(func(t *testing.T, body string, compressed bool) {
		response := &http.Response{Header: make(http.Header), Body: io.NopCloser(strings.NewReader(body))}
		if compressed {
			response.Header.Set("Content-Encoding", "gzip")
		}
		batch, err := (&Client{}).decodeItems(response, "a")
		if err != nil {
			return
		}
		for i := range batch.Items {
			if decoded := batch.Items[i].decode(); decoded.Age < 0 || decoded.Age > maxItemAge {
				t.Fatalf("an item with the age %v was accepted", decoded.Age)
			}
		}
	})
}

// FuzzFanOut decodes a request for a hub.
func FuzzFanOut(f *testing.F) {
	f.Add(`{"id":"q","method":"GET","host":"h","path":"/a/","elapsed_micros":5,"wait_micros":9,"route":{"Name":"r","Shards":["s","t"],"Attempts":2,"LeastShare":0.5,"Timeout":1000}}`)
	f.Add(`{"id":"q","route":{"Shards":["s","s"]}}`)
	f.Add(`{"id":"q","elapsed_micros":-9223372036854775808,"route":{"Shards":["s"],"Timeout":-1}}`)
	h := &Handler{ServeRoute: func(_ context.Context, c *wqcall.Call, route *wqroute.Route) wqcall.Reply {
		if route.Problem() != "" || !route.FanOut() || c.Timeout < 0 || time.Since(c.Arrived) > 2*maxFanOutTime {
			panic("a request that can't be served was accepted")
		}
		return wqcall.Reply{}
	}}
	f.Fuzz(func(_ *testing.T, body string) {
		h.serveFanOut(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, fanOutPath, strings.NewReader(body)))
	})
}
