package wqtarget_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"wisteriaquay/io/wqtarget"
)

// serveCanned answers every request on a connection with the same bytes and adds
// the bytes read and written to wireBytes.
func serveCanned(c net.Conn, reply []byte, wireBytes *atomic.Int64) {
	defer func() { _ = c.Close() }()
	buffer := make([]byte, 64<<10)
	n := 0
	for {
		m, err := c.Read(buffer[n:])
		if err != nil {
			return
		}
		n += m
		if !bytes.HasSuffix(buffer[:n], []byte("}]}")) {
			continue
		}
		wireBytes.Add(int64(n + len(reply)))
		n = 0
		if _, err := c.Write(reply); err != nil {
			return
		}
	}
}

func cannedReply(b *testing.B, batch []wqtarget.Query) []byte {
	b.Helper()
	r := wqtarget.SearchReply{Incarnation: "a81f", OldestSnapshot: 5, NewestSnapshot: 7}
	for _, q := range batch {
		row := wqtarget.Row{Key: "setting-000017", Score: 0.9, Body: make([]byte, 64)}
		r.Results = append(r.Results, wqtarget.Result{
			RequestID: q.RequestID, Shard: q.Shard, Snapshot: 7, Matched: 3, Rows: []wqtarget.Row{row, row, row},
		})
	}
	body, err := json.Marshal(r)
	if err != nil {
		b.Fatal(err)
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// BenchmarkSearch measures the client's cost of a sub-query. The searcher answers
// without delay with three rows of 64 bytes.
func BenchmarkSearch(b *testing.B) {
	for _, size := range []int{1, 8} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) { benchmarkSearch(b, size) })
	}
}

func benchmarkSearch(b *testing.B, size int) {
	batch := make([]wqtarget.Query, size)
	for i := range batch {
		batch[i] = query(fmt.Sprintf("q-%08d", i))
		batch[i].Body = make([]byte, 64)
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var wireBytes atomic.Int64
	reply := cannedReply(b, batch)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveCanned(c, reply, &wireBytes)
		}
	}()
	client, closeClient := wqtarget.New()
	defer closeClient()
	s := searcherAt(l.Addr().String(), 30)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Search(context.Background(), s, batch); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size), "ns/sub-query")
	b.ReportMetric(float64(wireBytes.Load())/float64(b.N*size), "wire-B/sub-query")
}
