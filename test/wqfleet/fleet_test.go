// Package wqfleet measures membership with many VMs in one process: real
// heartbeats over loopback by the product's peer connections, counted where
// they are read and written.
//
// # Usage
//
//	go test ./test/wqfleet -run '^$' -bench Fleet -benchtime 1x
package wqfleet_test

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/io/wqeventloop"
	"wisteriaquay/io/wqheartbeat"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqpeerpool"
)

const (
	window   = 20 * time.Second // window is how long the steady fleet is measured.
	settle   = 65 * time.Second // settle is how long connections of the start take to be closed as idle.
	joinTime = 90 * time.Second // joinTime bounds the time until all VMs know each other.
)

// step is one thing that a VM's control goroutine does.
type step func(now time.Time, m *wqmember.Tracker)

// vm is one instance.
type vm struct {
	machine wqmember.Tracker
	loop    *wqeventloop.Loop[step]
	pool    *wqpeerpool.Pool
	hung    atomic.Bool // hung VMs take messages and answer none, as after a crash of the host.
	live    atomic.Int64
}

// counter counts the bytes of connections; one side of each is counted.
type counter struct {
	net.Listener
	bytes *atomic.Int64
}

func (c counter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return counted{conn, c.bytes}, err
}

type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Heartbeat answers a peer.
func (v *vm) Heartbeat(ctx context.Context, h *wqpb.HeartbeatMessage) (*wqpb.HeartbeatMessage, error) {
	message, err := wqheartbeat.Decode(h)
	if err != nil || v.hung.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply := make(chan wqmember.Message, 1)
	v.loop.Post(ctx, func(now time.Time, m *wqmember.Tracker) { reply <- m.HandleMessage(now, message) })
	select {
	case r := <-reply:
		return wqheartbeat.Encode(r), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (v *vm) deliver(s wqmember.Envelope) {
	ctx, cancel := context.WithTimeout(context.Background(), v.machine.Timing.AckTimeout)
	defer cancel()
	reply, err := v.pool.PeerClient(s.To.Address).Heartbeat(ctx, wqheartbeat.Encode(s.Message))
	if err != nil {
		v.loop.TryPost(func(now time.Time, m *wqmember.Tracker) { m.HandleNoReply(now, s) })
		return
	}
	if message, err := wqheartbeat.Decode(reply); err == nil {
		v.loop.TryPost(func(now time.Time, m *wqmember.Tracker) { m.HandleReply(now, s, message) })
	}
}

func (v *vm) settle(now time.Time) time.Time {
	if v.hung.Load() {
		return now.Add(time.Hour)
	}
	for _, s := range v.machine.Tick(now) {
		go v.deliver(s)
	}
	v.live.Store(int64(v.countLive()))
	return v.machine.NextTick()
}

func (v *vm) countLive() int {
	live := 0
	for _, m := range v.machine.Members() {
		if m.State == wqmember.Alive {
			live++
		}
	}
	return live
}

// fleet is a number of VMs in this process.
type fleet struct {
	vms   []*vm
	bytes atomic.Int64
}

func startFleet(b *testing.B, size int) *fleet {
	f := &fleet{}
	listeners := make([]net.Listener, size)
	list := make([]wqmember.ListedVM, size)
	for i := range size {
		l, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
		must.NoError(b, err)
		listeners[i] = counter{l, &f.bytes}
		list[i] = wqmember.ListedVM{
			ID: fmt.Sprintf("vm-%04d", i), Address: l.Addr().String(),
			Zone: fmt.Sprintf("zone-%d", i%9), Region: fmt.Sprintf("region-%d", i%9/3),
		}
	}
	for i := range size {
		f.vms = append(f.vms, startVM(b, list, i, listeners[i]))
	}
	return f
}

func startVM(b *testing.B, list []wqmember.ListedVM, i int, l net.Listener) *vm {
	now := time.Now()
	self := list[i]
	if len(list) <= 9 {
		self.Region = "region-0"
	}
	v := &vm{machine: wqmember.Tracker{
		Self: wqmember.Member{
			ID: self.ID, Address: self.Address, Zone: self.Zone, Region: self.Region, Epoch: uint64(now.UnixMilli()),
		},
		Random: rand.New(rand.NewPCG(uint64(i), 1)),
		Timing: wqmember.DefaultTiming(),
	}}
	v.machine.Start(now)
	v.machine.SetVMList(now, list)
	pool, release := wqpeerpool.New(wqpeerpool.Settings{})
	v.pool = pool
	v.loop = wqeventloop.New[step](1024)
	v.loop.HandleEvent = func(now time.Time, s step) { s(now, &v.machine) }
	v.loop.Tick = v.settle
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: wqpb.NewPeerServiceServer(peers{v: v}), Protocols: protocols, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	go v.loop.Run(ctx)
	b.Cleanup(func() {
		cancel()
		release()
		_ = server.Close()
	})
	return v
}

// peers answers heartbeats and nothing else.
type peers struct {
	wqpb.PeerService
	v *vm
}

func (p peers) Heartbeat(ctx context.Context, h *wqpb.HeartbeatMessage) (*wqpb.HeartbeatMessage, error) {
	return p.v.Heartbeat(ctx, h)
}

// await waits until all VMs that answer see this many live ones.
func (f *fleet) await(limit time.Duration, live int) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		done := true
		for _, v := range f.vms {
			done = done && (v.hung.Load() || v.live.Load() == int64(live))
		}
		if done {
			return time.Since(start), true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return limit, false
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memory() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapInuse + s.StackInuse)
}

func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{8, 50, 200, 920} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				measure(b, size)
			}
		})
	}
}

func measure(b *testing.B, size int) {
	before := memory()
	f := startFleet(b, size)
	joined, ok := f.await(joinTime, size)
	must.True(b, ok, must.Sprintf("%d VMs must know each other within %s", size, joinTime))
	time.Sleep(settle)
	bytes, cpu := f.bytes.Load(), processorTime()
	time.Sleep(window)
	perVM := float64(size) * window.Seconds()
	b.ReportMetric(float64(f.bytes.Load()-bytes)/perVM, "B/s-sent-per-vm")
	b.ReportMetric(100*(processorTime()-cpu).Seconds()/perVM, "%core-per-vm")
	b.ReportMetric((memory()-before)/float64(size)/1e6, "MB-per-vm")
	b.ReportMetric(joined.Seconds(), "s-to-join")
	f.vms[size/2].hung.Store(true)
	detected, ok := f.await(30*time.Second, size-1)
	must.True(b, ok, must.Sprint("a crash must be known everywhere within 30 s"))
	b.ReportMetric(detected.Seconds(), "s-to-detect")
}
