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

// cannedShardService answers each fan with one part of three rows per sub-query.
type cannedShardService struct {
	wqpbconnect.UnimplementedShardServiceHandler
}

// Fan answers without delay.
func (cannedShardService) Fan(_ context.Context, r *connect.Request[wqpb.FanRequest], stream *connect.ServerStream[wqpb.FanPart]) error {
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

// BenchmarkFanCall measures a call from an entry VM to a holder over loopback. The
// CPU time includes both sides.
func BenchmarkFanCall(b *testing.B) {
	mux := http.NewServeMux()
	mux.Handle(wqpbconnect.NewShardServiceHandler(cannedShardService{}))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	pool, release := New(Settings{})
	defer release()
	client := pool.ShardClient(server.Listener.Addr().String())
	for _, subQueries := range []int{2, 16, 64} {
		b.Run(fmt.Sprint(subQueries), func(b *testing.B) {
			r := &wqpb.FanRequest{RequestId: "q-1", Service: "bench", Snapshot: 7, Body: make([]byte, 64), Limit: 100}
			for i := range subQueries {
				r.SubQueries = append(r.SubQueries, &wqpb.SubQuery{Shard: fmt.Sprintf("bench-%04d", i), Searcher: fmt.Sprintf("bench-%04d-1", i)})
			}
			b.ReportAllocs()
			before := processCPUTime(b)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					callFan(b, client, r)
				}
			})
			used := processCPUTime(b) - before
			b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

func callFan(b *testing.B, client wqpbconnect.ShardServiceClient, r *wqpb.FanRequest) {
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

// processCPUTime returns the user and system CPU time of this process.
func processCPUTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
