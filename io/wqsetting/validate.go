package wqsetting

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"wisteriaquay/core/wqfault"
)

// Bounds of the settings.
const (
	maxNameBytes   = 64
	minTokenBytes  = 16
	maxHoldersMost = 16
	maxLogMost     = 1000
	shortestPeriod = 50 * time.Millisecond
	longestPeriod  = 10 * time.Minute
)

// faults collects what is wrong, each with its remedy.
type faults struct{ lines []string }

func (f *faults) add(bad bool, format string, args ...any) {
	if bad {
		f.lines = append(f.lines, fmt.Sprintf(format, args...))
	}
}

// Validate returns one wqfault.BadInput fault that names every bad setting with
// its remedy, or nil.
func (s *Settings) Validate() error {
	f := &faults{}
	s.Identity.check(f)
	s.Listeners.check(f)
	s.Platform.check(f)
	s.Keys.check(f)
	s.Limits.check(f)
	if len(f.lines) == 0 {
		return nil
	}
	message := fmt.Sprintf("%d settings are wrong:\n  %s", len(f.lines), strings.Join(f.lines, "\n  "))
	return wqfault.New(wqfault.BadInput, message+"\n", "correct them and run 'wisteriaquay check' again")
}

func (i *Identity) check(f *faults) {
	for _, n := range []struct{ flag, value string }{{"id", i.ID}, {"zone", i.Zone}, {"region", i.Region}} {
		f.add(n.value == "", "--%s is empty: set it or its environment variable", n.flag)
		f.add(len(n.value) > maxNameBytes, "--%s has %d bytes: use at most %d", n.flag, len(n.value), maxNameBytes)
		f.add(strings.ContainsAny(n.value, "./ \t\n"), "--%s holds a dot, slash or blank: use letters, digits, '-' and '_'", n.flag)
	}
}

func (l *Listeners) check(f *faults) {
	for _, a := range []struct{ flag, value string }{{"caller-listen", l.Caller}, {"peer-listen", l.Peer}, {"admin-listen", l.Admin}} {
		_, err := netip.ParseAddrPort(a.value)
		f.add(err != nil, "--%s %q is not an IP number and port: use a form like 10.0.0.7:7400", a.flag, a.value)
	}
	reach, err := netip.ParseAddrPort(l.PeerAddress())
	f.add(err != nil || reach.Addr().IsUnspecified(), "--peer-address or else --peer-listen %q is no address that peers can call: use this VM's own IP number and port", l.PeerAddress())
}

// PeerAddress returns the address at which the other VMs call this one.
func (l *Listeners) PeerAddress() string {
	if l.AdvertisedPeer != "" {
		return l.AdvertisedPeer
	}
	return l.Peer
}

func (p *Platform) check(f *faults) {
	for _, u := range []struct{ flag, value string }{{"store", p.StoreURL}, {"vm-list", p.VMListURL}} {
		parsed, err := url.Parse(u.value)
		bad := err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https")
		f.add(bad, "--%s %q is not an http or https URL: use a form like http://10.0.0.2:8200", u.flag, u.value)
	}
	checkPeriod(f, "store-timeout", p.StoreTimeout)
	checkPeriod(f, "vm-list-period", p.VMListPeriod)
	checkPeriod(f, "vm-list-timeout", p.VMListTimeout)
	checkPeriod(f, "vm-list-lag", p.VMListLag)
}

func (k *Keys) check(f *faults) {
	f.add(len(k.OperatorToken) < minTokenBytes, "--operator-token has %d bytes: use at least %d random ones", len(k.OperatorToken), minTokenBytes)
	if k.PlainText {
		return
	}
	for _, n := range []struct{ flag, value string }{
		{"caller-certificate", k.CallerCertificate},
		{"caller-key", k.CallerKey},
		{"peer-certificate", k.PeerCertificate},
		{"peer-key", k.PeerKey},
		{"peer-authority", k.PeerAuthority},
	} {
		f.add(n.value == "", "--%s is empty: set it, or set --plain-text for a loopback trial", n.flag)
	}
}

func (l *Limits) check(f *faults) {
	checkRange(f, "max-holders", l.MaxHolders, maxHoldersMost)
	checkRange(f, "log-per-second", l.LogPerSecond, maxLogMost)
	checkPeriod(f, "heartbeat", l.HeartbeatInterval)
	checkPeriod(f, "ticket-life", l.TicketTTL)
	checkPeriod(f, "stop-limit", l.StopLimit)
	f.add(l.BalancerLag < 0 || l.BalancerLag > longestPeriod, "--balancer-lag %s is out of range: use 0s to %s", l.BalancerLag, longestPeriod)
	f.add(l.StopLimit < l.BalancerLag+l.TicketTTL, "--stop-limit %s is too short: use at least %s, the balancer lag and the ticket life together", l.StopLimit, l.BalancerLag+l.TicketTTL)
}

func checkRange(f *faults, flag string, value, most int) {
	f.add(value < 1 || value > most, "--%s %d is out of range: use 1 to %d", flag, value, most)
}

func checkPeriod(f *faults, flag string, value time.Duration) {
	f.add(value < shortestPeriod || value > longestPeriod, "--%s %s is out of range: use %s to %s", flag, value, shortestPeriod, longestPeriod)
}
