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

// storeMode is how the model's store handles calls.
type storeMode int

const (
	modeServing     storeMode = iota
	modeSilent                // Accepts calls and never answers them, nor those in progress.
	modeUnavailable           // Answers with status 503.
	modeResetting             // Resets connections.
)

// Times as at the users' small sites.
const (
	maxApplyDelay    = 3 * time.Second
	settleTime       = 4 * time.Second
	keepAliveTimeout = 4 * time.Second        // After which TCP closes a connection to an isolated VM.
	dialTimeout      = 500 * time.Millisecond // Of a new connection to or from an isolated VM.
	latency          = 4 * time.Millisecond   // Of a call to the store, and one way between VMs.
	noResponse       = time.Hour              // After which a call without a response fails.
)

// fleetModel is a simulated store and a fleet of VMs, each with its real
// controller and store watcher. It runs in a synctest bubble, so its time is
// simulated.
type fleetModel struct {
	mutex               sync.Mutex
	changed             chan struct{} // Closed and replaced at each update.
	revision            uint64
	compactedTo         uint64 // Revision up to which the history is compacted.
	era                 uint64 // Restores of the store, and 1.
	version             uint64
	versionRevision     uint64 // Revision of the newest version.
	newestVersion       uint64 // Newest version that the operator has written.
	copies              []storeCopy
	mode                storeMode
	modeChanges         int       // Counts the faults of the store; a call from before one is dropped.
	eventsWithheldUntil time.Time // Watches return no events before this time.
	faultEnd            time.Time // End of the latest fault of the store.
	confirmed           []confirmedVersion
	vms                 []*modelVM
}

// confirmedVersion is a version of the configuration that the store confirmed.
type confirmedVersion struct {
	version uint64
	at      time.Time
}

// storeCopy is the state of the store at one moment.
type storeCopy struct {
	at                                 time.Time
	revision, version, versionRevision uint64
}

type modelVM struct {
	model       *fleetModel
	member      wqmember.Member
	controller  *wqcontroller.Controller
	cancel      context.CancelFunc
	down        bool
	outages     int
	mode        storeMode
	modeChanges int
	faultEnd    time.Time // End of the VM's latest restart or isolation.
	servedSince time.Time // End of the latest fault of the store for this VM alone.
}

func newModel(size int) *fleetModel {
	m := &fleetModel{changed: make(chan struct{}), revision: 1, era: 1}
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

// start starts a process on the VM, whose clock is off by clockOffset.
func (v *modelVM) start(clockOffset time.Duration) {
	h := &Host{
		Settings: &wqboot.Settings{
			VMName: v.member.ID, Zone: v.member.Zone, Region: v.member.Region, PeerAddress: v.member.Address, StoreURL: "http://store",
			Seeds: []string{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}, MaxApplyDelay: maxApplyDelay,
		},
		Log: slog.New(slog.DiscardHandler),
	}
	self := h.member()
	self.Epoch = uint64(time.Now().Add(clockOffset).UnixMilli())
	controller := wqcontroller.New(self, wqitem.Decode)
	controller.Peers = v
	h.controller = controller
	ctx, cancel := context.WithCancel(context.Background())
	v.model.update(func() { v.member, v.controller, v.cancel, v.faultEnd = self, controller, cancel, time.Now() })
	go controller.Run(ctx)
	controller.SetSeeds(ctx, h.Settings.Seeds)
	go h.watchStore(ctx, v)
}

// restart ends the process and starts a new one after the downtime.
func (v *modelVM) restart(downtime, clockOffset time.Duration) {
	v.model.update(func() { v.down, v.outages = true, v.outages+1 })
	v.cancel()
	time.Sleep(downtime)
	v.model.update(func() { v.down = false })
	v.start(clockOffset)
}

// isolate cuts the network of the VM for d.
func (v *modelVM) isolate(d time.Duration) {
	v.model.update(func() { v.down, v.outages = true, v.outages+1 })
	time.Sleep(d)
	v.model.update(func() { v.down, v.faultEnd = false, time.Now() })
}

// setMode changes how the store handles calls of this VM alone, for d. The VM must
// still apply each version in time, through other VMs.
func (v *modelVM) setMode(mode storeMode, d time.Duration) {
	v.model.update(func() { v.mode, v.modeChanges = mode, v.modeChanges+1 })
	time.Sleep(d)
	v.model.update(func() { v.mode, v.servedSince = modeServing, time.Now() })
}

// setMode changes how the store handles the calls of all VMs, for d.
func (m *fleetModel) setMode(mode storeMode, d time.Duration) {
	m.update(func() { m.mode, m.modeChanges = mode, m.modeChanges+1 })
	time.Sleep(d)
	m.update(func() { m.mode, m.faultEnd = modeServing, time.Now() })
}

// compact withholds events from watches for d, and then compacts the history.
func (m *fleetModel) compact(d time.Duration) {
	m.update(func() { m.eventsWithheldUntil, m.faultEnd = time.Now().Add(d), time.Now() })
	time.Sleep(d)
	m.update(func() { m.compactedTo, m.faultEnd = m.revision, time.Now() })
}

// writeVersion writes the next version of the configuration once the store serves
// calls, and records when it was confirmed.
func (m *fleetModel) writeVersion() {
	for {
		m.mutex.Lock()
		storeServes := m.mode == modeServing
		m.mutex.Unlock()
		if storeServes {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	m.update(func() {
		m.copies = append(m.copies, storeCopy{time.Now(), m.revision, m.version, m.versionRevision})
		m.newestVersion++
		m.putVersion()
		m.confirmed = append(m.confirmed, confirmedVersion{m.version, time.Now()})
	})
}

// putVersion stores the newest version. The caller holds the mutex.
func (m *fleetModel) putVersion() {
	m.revision++
	m.version, m.versionRevision = m.newestVersion, m.revision
}

// restore takes the store away for the downtime, and brings it back from a copy of the
// state at the age. The operator writes the lost version again after the delay.
func (m *fleetModel) restore(downtime, age, delay time.Duration) {
	m.update(func() { m.mode, m.modeChanges = modeResetting, m.modeChanges+1 })
	time.Sleep(downtime)
	m.update(func() {
		taken := time.Now().Add(-downtime - age)
		for i := len(m.copies) - 1; i >= 0 && m.copies[i].at.After(taken); i-- {
			m.revision, m.version, m.versionRevision = m.copies[i].revision, m.copies[i].version, m.copies[i].versionRevision
			m.copies = m.copies[:i]
		}
		m.compactedTo = min(m.compactedTo, m.revision)
		m.era++
		m.mode, m.faultEnd = modeServing, time.Now()
	})
	time.Sleep(delay)
	m.update(func() {
		if m.version < m.newestVersion {
			m.putVersion()
		}
	})
}

func (m *fleetModel) update(do func()) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	do()
	close(m.changed)
	m.changed = make(chan struct{})
}

// checkApplied returns an error that names a VM without a version that was
// confirmed more than maxApplyDelay ago. It exempts VMs shortly after a fault.
func (m *fleetModel) checkApplied() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	dueVersion := uint64(0)
	for _, a := range m.confirmed {
		if now.Sub(a.at) > maxApplyDelay {
			dueVersion = a.version
		}
	}
	if m.mode != modeServing || now.Before(m.eventsWithheldUntil) || now.Sub(m.faultEnd) < settleTime {
		return nil
	}
	for _, v := range m.vms {
		if !v.settled(now) || !v.servedLongEnough(now) && !slices.ContainsFunc(m.vms, func(o *modelVM) bool { return o.settled(now) && o.servedLongEnough(now) }) {
			continue
		}
		version := uint64(0)
		if t := v.controller.Plan().Table; t != nil {
			version = t.Version
		}
		if version < dueVersion {
			return fmt.Errorf("%s has version %d, %d was confirmed over %v ago", v.member.ID, version, dueVersion, maxApplyDelay)
		}
	}
	return nil
}

// settled reports whether the VM had time to recover from its latest fault.
func (v *modelVM) settled(now time.Time) bool { return !v.down && now.Sub(v.faultEnd) >= settleTime }

// servedLongEnough reports whether the store has served the VM for settleTime.
// A VM that it does not serve gets changes only from other VMs.
func (v *modelVM) servedLongEnough(now time.Time) bool {
	return v.mode == modeServing && now.Sub(v.servedSince) >= settleTime
}

// RoundTrip handles one call of this VM to the store.
func (v *modelVM) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(latency)
	m, ctx := v.model, r.Context()
	m.mutex.Lock()
	storeModeChanges, outages, vmModeChanges := m.modeChanges, v.outages, v.modeChanges
	m.mutex.Unlock()
	query := r.URL.Query()
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	watchTimer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer watchTimer.Stop()
	for watchExpired := false; ; {
		m.mutex.Lock()
		mode := max(m.mode, v.mode)
		modeChanged := m.modeChanges != storeModeChanges || v.modeChanges != vmModeChanges
		down, wentDown, eventsWithheld, changed := v.down, v.outages != outages, time.Now().Before(m.eventsWithheldUntil), m.changed
		status, body := m.respond(r.URL.Path, after, watchExpired)
		header := http.Header{"Store-Era": {strconv.FormatUint(m.era, 10)}}
		m.mutex.Unlock()
		switch {
		case down && !wentDown:
			return nil, failAfter(ctx, dialTimeout)
		case wentDown:
			return nil, failAfter(ctx, keepAliveTimeout)
		case mode == modeSilent || modeChanged && mode == modeServing:
			return nil, failAfter(ctx, noResponse)
		case mode == modeUnavailable:
			return newResponse(http.StatusServiceUnavailable, header, nil), nil
		case mode == modeResetting || modeChanged:
			return nil, errors.New("reset")
		case status != 0 && (!eventsWithheld || r.URL.Path != "/kv-watch"):
			return newResponse(status, header, body), nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		case <-watchTimer.C:
			watchExpired = true
		}
	}
}

// respond returns status and body of the response, status 0 while a watch waits.
func (m *fleetModel) respond(path string, after uint64, watchExpired bool) (int, any) {
	type row struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
	}
	value, _ := json.Marshal(map[string]any{"version": m.version})
	rows := []row{}
	if m.version > 0 && (path == "/kv-range" || m.versionRevision > after) {
		rows = append(rows, row{"op/config", value, m.versionRevision})
	}
	switch {
	case path == "/kv-range":
		return http.StatusOK, map[string]any{"items": rows, "asOf": m.revision}
	case after < m.compactedTo, after > m.revision:
		return http.StatusGone, nil
	case len(rows) > 0 || watchExpired:
		return http.StatusOK, map[string]any{"events": rows, "asOf": m.revision}
	}
	return 0, nil
}

// failAfter returns an error after the delay, or when ctx ends before.
func failAfter(ctx context.Context, delay time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
		return errors.New("no connection")
	}
}

func newResponse(status int, header http.Header, body any) *http.Response {
	data, _ := json.Marshal(body)
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(bytes.NewReader(data))}
}

// controllerAt returns the controller of the VM at an address, nil when no message
// from this VM gets there.
func (v *modelVM) controllerAt(address string) *wqcontroller.Controller {
	v.model.mutex.Lock()
	defer v.model.mutex.Unlock()
	for _, o := range v.model.vms {
		if o.member.Address == address && !o.down && !v.down {
			return o.controller
		}
	}
	return nil
}

// SendHeartbeat sends a heartbeat to another VM and passes its outcome to the
// controller, each after the latency.
func (v *modelVM) SendHeartbeat(s wqmember.Envelope) {
	self := v.controller
	go func() {
		time.Sleep(latency)
		receiver := v.controllerAt(s.To.Address)
		if receiver == nil {
			time.Sleep(wqmember.DefaultTiming().AckTimeout)
			self.HeartbeatFailed(s)
			return
		}
		reply, ok := receiver.HeartbeatReceived(context.Background(), s.Message)
		time.Sleep(latency)
		if !ok || v.controllerAt(s.To.Address) == nil {
			self.HeartbeatFailed(s)
			return
		}
		self.HeartbeatAnswered(s, reply)
	}()
}

// FetchItems gets the items after a revision from another VM and delivers them.
func (v *modelVM) FetchItems(from wqmember.Member, after uint64) {
	self := v.controller
	go func() {
		time.Sleep(latency)
		source := v.controllerAt(from.Address)
		if source == nil {
			return
		}
		if b, ok := source.BatchSince(context.Background(), after); ok && v.controllerAt(from.Address) != nil {
			time.Sleep(latency)
			self.Deliver(context.Background(), b)
		}
	}()
}
