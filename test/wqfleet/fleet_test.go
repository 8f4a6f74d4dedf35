// Package wqfleet measures the cost and speed of membership with many VMs in one
// process. The VMs send real heartbeats over loopback through the program's peer
// connections; the bytes are counted on the accepting side of each connection.
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
	measureTime   = 20 * time.Second // From the end of idleCloseTime on.
	idleCloseTime = 65 * time.Second // After joining: until connections opened at the start are closed as idle.
	joinTimeout   = 90 * time.Second // From the start until each VM lists all VMs as alive.
)

// event is a call that a VM's control goroutine makes on its membership tracker.
type event func(now time.Time, m *wqmember.Tracker)

// vm is one simulated VM: a membership tracker, its control loop and its peer
// connections.
type vm struct {
	tracker    wqmember.Tracker
	loop       *wqeventloop.Loop[event]
	pool       *wqpeerpool.Pool
	hung       atomic.Bool // A hung VM accepts messages and answers none, as after a crash of the host.
	aliveCount atomic.Int64
}

// countingListener counts the bytes that its accepted connections read and write.
// The dialling side is not wrapped, so each byte counts once.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countingConn{conn, c.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Heartbeat passes a peer's heartbeat to the control loop and returns the reply.
// A hung VM does not reply until ctx ends.
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

func (v *vm) sendHeartbeat(s wqmember.Envelope) {
	ctx, cancel := context.WithTimeout(context.Background(), v.tracker.Timing.AckTimeout)
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

func (v *vm) tick(now time.Time) time.Time {
	if v.hung.Load() {
		return now.Add(time.Hour)
	}
	for _, s := range v.tracker.Tick(now) {
		go v.sendHeartbeat(s)
	}
	v.aliveCount.Store(int64(v.countAlive()))
	return v.tracker.NextTick()
}

func (v *vm) countAlive() int {
	alive := 0
	for _, m := range v.tracker.Members() {
		if m.State == wqmember.Alive {
			alive++
		}
	}
	return alive
}

// fleet is a number of VMs in this process and the bytes sent between them.
type fleet struct {
	vms   []*vm
	bytes atomic.Int64
}

func startFleet(b *testing.B, size int) *fleet {
	f := &fleet{}
	listeners := make([]net.Listener, size)
	vmList := make([]wqmember.ListedVM, size)
	for i := range size {
		l, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
		must.NoError(b, err)
		listeners[i] = countingListener{l, &f.bytes}
		vmList[i] = wqmember.ListedVM{
			ID: fmt.Sprintf("vm-%04d", i), Address: l.Addr().String(),
			Zone: fmt.Sprintf("zone-%d", i%9), Region: fmt.Sprintf("region-%d", i%9/3),
		}
	}
	for i := range size {
		f.vms = append(f.vms, startVM(b, vmList, i, listeners[i]))
	}
	return f
}

func startVM(b *testing.B, vmList []wqmember.ListedVM, i int, l net.Listener) *vm {
	now := time.Now()
	self := vmList[i]
	if len(vmList) <= 9 {
		self.Region = "region-0"
	}
	v := &vm{tracker: wqmember.Tracker{
		Self: wqmember.Member{
			ID: self.ID, Address: self.Address, Zone: self.Zone, Region: self.Region, Epoch: uint64(now.UnixMilli()),
		},
		Random: rand.New(rand.NewPCG(uint64(i), 1)),
		Timing: wqmember.DefaultTiming(),
	}}
	v.tracker.Start(now)
	v.tracker.SetVMList(now, vmList)
	pool, release := wqpeerpool.New(wqpeerpool.Settings{})
	v.pool = pool
	v.loop = wqeventloop.New[event](1024)
	v.loop.HandleEvent = func(now time.Time, s event) { s(now, &v.tracker) }
	v.loop.Tick = v.tick
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: wqpb.NewPeerServiceServer(heartbeatService{v: v}), Protocols: protocols, ErrorLog: log.New(io.Discard, "", 0)}
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

// heartbeatService is a peer service that implements heartbeats only.
type heartbeatService struct {
	wqpb.PeerService
	v *vm
}

func (p heartbeatService) Heartbeat(ctx context.Context, h *wqpb.HeartbeatMessage) (*wqpb.HeartbeatMessage, error) {
	return p.v.Heartbeat(ctx, h)
}

// waitForAlive waits until each VM that does not hang counts this many alive. It
// returns the time that this took, or timeout and false.
func (f *fleet) waitForAlive(timeout time.Duration, alive int) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < timeout {
		converged := true
		for _, v := range f.vms {
			converged = converged && (v.hung.Load() || v.aliveCount.Load() == int64(alive))
		}
		if converged {
			return time.Since(start), true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return timeout, false
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memoryInUse() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapInuse + s.StackInuse)
}

func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{8, 50, 200, 920} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size)
			}
		})
	}
}

func measureFleet(b *testing.B, size int) {
	memoryBefore := memoryInUse()
	f := startFleet(b, size)
	timeToJoin, ok := f.waitForAlive(joinTimeout, size)
	must.True(b, ok, must.Sprintf("each of %d VMs must list all as alive within %s", size, joinTimeout))
	time.Sleep(idleCloseTime)
	bytesBefore, cpuBefore := f.bytes.Load(), cpuTime()
	time.Sleep(measureTime)
	vmSeconds := float64(size) * measureTime.Seconds()
	b.ReportMetric(float64(f.bytes.Load()-bytesBefore)/vmSeconds, "B/s-sent-per-vm")
	b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/vmSeconds, "%core-per-vm")
	b.ReportMetric((memoryInUse()-memoryBefore)/float64(size)/1e6, "MB-per-vm")
	b.ReportMetric(timeToJoin.Seconds(), "s-to-join")
	f.vms[size/2].hung.Store(true)
	timeToDetect, ok := f.waitForAlive(30*time.Second, size-1)
	must.True(b, ok, must.Sprint("each VM must detect the hung VM within 30 s"))
	b.ReportMetric(timeToDetect.Seconds(), "s-to-detect")
}
