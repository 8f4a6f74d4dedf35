package wqpeerpool

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqpb/wqpbconnect"
)

// canned answers each fan in one part with three rows a sub-query.
type canned struct {
	wqpbconnect.UnimplementedShardServiceHandler
}

// Fan answers at once.
func (canned) Fan(_ context.Context, r *connect.Request[wqpb.FanRequest], stream *connect.ServerStream[wqpb.FanPart]) error {
	part := &wqpb.FanPart{RequestId: r.Msg.GetRequestId()}
	for _, q := range r.Msg.GetSubQueries() {
		part.Results = append(part.Results, &wqpb.SubResult{
			Shard: q.GetShard(), Searcher: q.GetSearcher(), Status: wqpb.SubStatus_SUB_STATUS_ANSWERED, Snapshot: 7, Oldest: 5, Newest: 7, Matched: 3, Sent: 1, Micros: 4000,
		})
		for i := range 3 {
			part.Rows = append(part.Rows, &wqpb.Row{Shard: q.GetShard(), Key: fmt.Sprintf("key-%d", i), Score: 0.5, Body: make([]byte, 64)})
		}
	}
	return stream.Send(part)
}

// BenchmarkFanCall measures one call from an entry VM to a holder VM over
// loopback, both sides together.
func BenchmarkFanCall(b *testing.B) {
	mux := http.NewServeMux()
	mux.Handle(wqpbconnect.NewShardServiceHandler(canned{}))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	pool, release := New(Settings{})
	defer release()
	client := pool.ShardClient(server.Listener.Addr().String())
	for _, subs := range []int{2, 16, 64} {
		b.Run(fmt.Sprint(subs), func(b *testing.B) {
			r := &wqpb.FanRequest{RequestId: "q-1", Service: "bench", Snapshot: 7, Body: make([]byte, 64), Limit: 100}
			for i := range subs {
				r.SubQueries = append(r.SubQueries, &wqpb.SubQuery{Shard: fmt.Sprintf("bench-%04d", i), Searcher: fmt.Sprintf("bench-%04d-1", i)})
			}
			b.ReportAllocs()
			before := processorTime(b)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					callOnce(b, client, r)
				}
			})
			used := processorTime(b) - before
			b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

func callOnce(b *testing.B, client wqpbconnect.ShardServiceClient, r *wqpb.FanRequest) {
	stream, err := client.Fan(b.Context(), connect.NewRequest(r))
	if err != nil {
		b.Error(err)
		return
	}
	for stream.Receive() {
	}
	if err := errors.Join(stream.Err(), stream.Close()); err != nil {
		b.Error(err)
	}
}

// processorTime returns what this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
