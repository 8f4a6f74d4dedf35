package wqhost

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/io/wqcontroller"
	"wisteriaquay/platform/wqboot"
	"wisteriaquay/platform/wqitem"
)

// manner is how the model's store treats calls.
type manner int

const (
	serves manner = iota
	silent        // silent takes calls and never answers them, nor those in progress.
	busy
	resets
)

// bounds are those of the users' small sites.
const (
	applyBound = 3 * time.Second
	touchBound = 4 * time.Second
	probesEnd  = 4 * time.Second        // probesEnd is when TCP gives up a connection that is cut.
	connectEnd = 500 * time.Millisecond // connectEnd is when a new connection is given up.
	latency    = 4 * time.Millisecond   // latency is that of a call to the store, and of a message between VMs one way.
	never      = time.Hour
)

// model is a fleet of control machines with their feeds, and a store. It runs in
// a synctest bubble, so its time is simulated.
type model struct {
	mutex     sync.Mutex
	changed   chan struct{} // changed is closed when anything changes, and replaced.
	revision  uint64
	forgotten uint64 // forgotten is the revision up to which history is gone.
	version   uint64
	wroteAt   uint64 // wroteAt is the revision of the newest version.
	store     manner
	silences  int       // silences counts how often the store fell silent; older calls are lost.
	deafTo    time.Time // deafTo is until when watches hear nothing.
	shakenAt  time.Time // shakenAt is when the store was last disturbed.
	acked     []ack
	vms       []*modelVM
}

// ack is one confirmed version.
type ack struct {
	version uint64
	at      time.Time
}

type modelVM struct {
	model    *model
	member   wqmember.Member
	keeper   *wqcontroller.Controller
	cancel   context.CancelFunc
	cut      bool
	cuts     int
	refused  manner
	refusals int
	shakenAt time.Time // shakenAt is when this VM was last disturbed.
	servedAt time.Time // servedAt is when the store last began to serve it again.
}

func newModel(size int) *model {
	m := &model{changed: make(chan struct{}), revision: 1}
	m.vms = make([]*modelVM, size)
	for i := range m.vms {
		address := fmt.Sprintf("10.0.0.%d:1", i)
		zone := string(rune('a' + i%3))
		m.vms[i] = &modelVM{model: m, member: wqmember.Member{ID: "vm-" + strconv.Itoa(i), Address: address, Zone: zone, Region: "r"}}
	}
	for _, v := range m.vms {
		v.start(0)
	}
	return m
}

// start begins a process on the VM, whose clock is off by step.
func (v *modelVM) start(step time.Duration) {
	h := &Host{
		Settings: &wqboot.Settings{
			VMName: v.member.ID, Zone: v.member.Zone, Region: v.member.Region, PeerAddress: v.member.Address, StoreURL: "http://store",
			Seeds: []string{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}, MaxApplyDelay: applyBound,
		},
		Log: slog.New(slog.DiscardHandler),
	}
	self := h.self()
	self.Epoch = uint64(time.Now().Add(step).UnixMilli())
	keeper := wqcontroller.New(self, wqitem.Decode)
	keeper.Peers = v
	h.keeper = keeper
	ctx, cancel := context.WithCancel(context.Background())
	v.model.change(func() { v.member, v.keeper, v.cancel, v.shakenAt = self, keeper, cancel, time.Now() })
	go keeper.Run(ctx)
	keeper.SetSeeds(ctx, h.Settings.Seeds)
	go h.followStore(ctx, v)
}

// kill ends the process; for down, nothing answers at the VM.
func (v *modelVM) kill(down, step time.Duration) {
	v.model.change(func() { v.cut, v.cuts = true, v.cuts+1 })
	v.cancel()
	time.Sleep(down)
	v.model.change(func() { v.cut = false })
	v.start(step)
}

// cutOff takes the VM from all others and the store.
func (v *modelVM) cutOff(d time.Duration) {
	v.model.change(func() { v.cut, v.cuts = true, v.cuts+1 })
	time.Sleep(d)
	v.model.change(func() { v.cut, v.shakenAt = false, time.Now() })
}

// refuse has the store refuse this VM alone, for which it stays answerable.
func (v *modelVM) refuse(how manner, d time.Duration) {
	v.model.change(func() { v.refused, v.refusals = how, v.refusals+1 })
	time.Sleep(d)
	v.model.change(func() { v.refused, v.servedAt = serves, time.Now() })
}

// disturb changes how the store treats everybody.
func (m *model) disturb(how manner, d time.Duration) {
	m.change(func() { m.store, m.silences = how, m.silences+1 })
	time.Sleep(d)
	m.change(func() { m.store, m.shakenAt = serves, time.Now() })
}

// compact has watches hear nothing for a while, and then forgets the history.
func (m *model) compact(d time.Duration) {
	m.change(func() { m.deafTo, m.shakenAt = time.Now().Add(d), time.Now() })
	time.Sleep(d)
	m.change(func() { m.forgotten, m.shakenAt = m.revision, time.Now() })
}

// write makes a version once the store takes it, and notes the confirmation.
func (m *model) write() {
	for {
		m.mutex.Lock()
		taken := m.store == serves
		m.mutex.Unlock()
		if taken {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	m.change(func() {
		m.revision++
		m.version++
		m.wroteAt = m.revision
		m.acked = append(m.acked, ack{m.version, time.Now()})
	})
}

func (m *model) change(do func()) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	do()
	close(m.changed)
	m.changed = make(chan struct{})
}

// late returns the VMs in touch that lack a version for too long.
func (m *model) late() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	due := uint64(0)
	for _, a := range m.acked {
		if now.Sub(a.at) > applyBound {
			due = a.version
		}
	}
	if m.store != serves || now.Before(m.deafTo) || now.Sub(m.shakenAt) < touchBound {
		return nil
	}
	for _, v := range m.vms {
		if !v.inTouch(now) || !v.served(now) && !slices.ContainsFunc(m.vms, func(o *modelVM) bool { return o.inTouch(now) && o.served(now) }) {
			continue
		}
		has := uint64(0)
		if t := v.keeper.Plan().Table; t != nil {
			has = t.Version
		}
		if has < due {
			return fmt.Errorf("%s has version %d, %d was confirmed over %v ago", v.member.ID, has, due, applyBound)
		}
	}
	return nil
}

// inTouch reports whether nothing disturbed the VM of late.
func (v *modelVM) inTouch(now time.Time) bool { return !v.cut && now.Sub(v.shakenAt) >= touchBound }

// served reports whether the store has served the VM for long enough. One that it
// refuses has no way to the store but another VM.
func (v *modelVM) served(now time.Time) bool {
	return v.refused == serves && now.Sub(v.servedAt) >= touchBound
}

// RoundTrip is one call of this VM to the store.
func (v *modelVM) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(latency)
	m, ctx := v.model, r.Context()
	m.mutex.Lock()
	silences, cuts, refusals := m.silences, v.cuts, v.refusals
	m.mutex.Unlock()
	query := r.URL.Query()
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for ended := false; ; {
		m.mutex.Lock()
		how := max(m.store, v.refused)
		lost := m.silences != silences || v.refusals != refusals
		cut, newCuts, deaf, changed := v.cut, v.cuts != cuts, time.Now().Before(m.deafTo), m.changed
		status, body := m.answer(r.URL.Path, after, ended)
		m.mutex.Unlock()
		switch {
		case cut && !newCuts:
			return nil, fail(ctx, connectEnd)
		case newCuts:
			return nil, fail(ctx, probesEnd)
		case how == silent || lost && how == serves:
			return nil, fail(ctx, never)
		case how == busy:
			return reply(http.StatusServiceUnavailable, nil), nil
		case how == resets || lost:
			return nil, errors.New("reset")
		case status != 0 && (!deaf || r.URL.Path != "/kv-watch"):
			return reply(status, body), nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		case <-end.C:
			ended = true
		}
	}
}

// answer returns the answer to a call, status 0 while there is none.
func (m *model) answer(path string, after uint64, ended bool) (int, any) {
	type row struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
	}
	value, _ := json.Marshal(map[string]any{"version": m.version})
	rows := []row{}
	if m.version > 0 && (path == "/kv-range" || m.wroteAt > after) {
		rows = append(rows, row{"op/config", value, m.wroteAt})
	}
	switch {
	case path == "/kv-range":
		return http.StatusOK, map[string]any{"items": rows, "asOf": m.revision}
	case after < m.forgotten:
		return http.StatusGone, nil
	case len(rows) > 0 || ended:
		return http.StatusOK, map[string]any{"events": rows, "asOf": m.revision}
	}
	return 0, nil
}

// fail is the end of a call that is never answered.
func fail(ctx context.Context, latest time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(latest):
		return errors.New("no connection")
	}
}

func reply(status int, body any) *http.Response {
	data, _ := json.Marshal(body)
	return &http.Response{StatusCode: status, Header: make(http.Header), Body: io.NopCloser(bytes.NewReader(data))}
}

// reach returns the process at an address, nil when no message gets there.
func (v *modelVM) reach(address string) *wqcontroller.Controller {
	v.model.mutex.Lock()
	defer v.model.mutex.Unlock()
	for _, o := range v.model.vms {
		if o.member.Address == address && !o.cut && !v.cut {
			return o.keeper
		}
	}
	return nil
}

// SendHeartbeat carries a message to another VM, which takes a few milliseconds.
func (v *modelVM) SendHeartbeat(s wqmember.Envelope) {
	self := v.keeper
	go func() {
		time.Sleep(latency)
		to := v.reach(s.To.Address)
		if to == nil {
			time.Sleep(wqmember.DefaultTiming().AckTimeout)
			self.HeartbeatFailed(s)
			return
		}
		answer, ok := to.HeartbeatReceived(context.Background(), s.Message)
		time.Sleep(latency)
		if !ok || v.reach(s.To.Address) == nil {
			self.HeartbeatFailed(s)
			return
		}
		self.HeartbeatAnswered(s, answer)
	}()
}

// FetchItems brings items from another VM.
func (v *modelVM) FetchItems(from wqmember.Member, after uint64) {
	self := v.keeper
	go func() {
		time.Sleep(latency)
		to := v.reach(from.Address)
		if to == nil {
			return
		}
		if b, ok := to.BatchSince(context.Background(), after); ok && v.reach(from.Address) != nil {
			time.Sleep(latency)
			self.Deliver(context.Background(), b)
		}
	}()
}
