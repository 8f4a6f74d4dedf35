package wqsetting

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"wisteriaquay/core/wqfault"
)

// Limits of the settings. Lengths are in bytes.
const (
	maxNameBytes    = 64
	minTokenBytes   = 16
	maxHoldersLimit = 16
	maxLogPerSecond = 1000
	minDuration     = 50 * time.Millisecond
	maxDuration     = 10 * time.Minute
)

// problems collects messages about invalid settings, each with its remedy.
type problems struct{ lines []string }

func (f *problems) addIf(bad bool, format string, args ...any) {
	if bad {
		f.lines = append(f.lines, fmt.Sprintf(format, args...))
	}
}

// Validate returns nil or one wqfault.BadInput fault that lists every invalid
// setting with its remedy.
func (s *Settings) Validate() error {
	f := &problems{}
	s.Identity.check(f)
	s.Listeners.check(f)
	s.Platform.check(f)
	s.Keys.check(f)
	s.Limits.check(f)
	if len(f.lines) == 0 {
		return nil
	}
	message := fmt.Sprintf("%d settings are invalid:\n  %s", len(f.lines), strings.Join(f.lines, "\n  "))
	return wqfault.New(wqfault.BadInput, message+"\n", "correct them and run 'wisteriaquay check' again")
}

func (i *Identity) check(f *problems) {
	for _, n := range []struct{ flag, value string }{{"id", i.ID}, {"zone", i.Zone}, {"region", i.Region}} {
		f.addIf(n.value == "", "--%s is empty: set it or its environment variable", n.flag)
		f.addIf(len(n.value) > maxNameBytes, "--%s has %d bytes: use at most %d", n.flag, len(n.value), maxNameBytes)
		f.addIf(strings.ContainsAny(n.value, "./ \t\n"), "--%s contains a dot, slash or white space: use letters, digits, '-' and '_'", n.flag)
	}
}

func (l *Listeners) check(f *problems) {
	for _, a := range []struct{ flag, value string }{{"caller-listen", l.Caller}, {"peer-listen", l.Peer}, {"admin-listen", l.Admin}} {
		_, err := netip.ParseAddrPort(a.value)
		f.addIf(err != nil, "--%s %q is not an IP address and port: use a form like 10.0.0.7:7400", a.flag, a.value)
	}
	peerAddress, err := netip.ParseAddrPort(l.PeerAddress())
	f.addIf(err != nil || peerAddress.Addr().IsUnspecified(), "--peer-address, or --peer-listen without it, %q is not an address that peers can call: use this VM's own IP address and port", l.PeerAddress())
}

// PeerAddress returns the address at which the other VMs call this one:
// AdvertisedPeer, or the peer listener's when that is empty.
func (l *Listeners) PeerAddress() string {
	if l.AdvertisedPeer != "" {
		return l.AdvertisedPeer
	}
	return l.Peer
}

func (p *Platform) check(f *problems) {
	for _, u := range []struct{ flag, value string }{{"store", p.StoreURL}, {"vm-list", p.VMListURL}} {
		parsed, err := url.Parse(u.value)
		bad := err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https")
		f.addIf(bad, "--%s %q is not an http or https URL: use a form like http://10.0.0.2:8200", u.flag, u.value)
	}
	checkDuration(f, "store-timeout", p.StoreTimeout)
	checkDuration(f, "vm-list-period", p.VMListPeriod)
	checkDuration(f, "vm-list-timeout", p.VMListTimeout)
	checkDuration(f, "vm-list-lag", p.VMListLag)
}

func (k *Keys) check(f *problems) {
	f.addIf(len(k.OperatorToken) < minTokenBytes, "--operator-token has %d bytes: use at least %d random ones", len(k.OperatorToken), minTokenBytes)
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
		f.addIf(n.value == "", "--%s is empty: set it, or set --plain-text for a loopback trial", n.flag)
	}
}

func (l *Limits) check(f *problems) {
	checkRange(f, "max-holders", l.MaxHolders, maxHoldersLimit)
	checkRange(f, "log-per-second", l.LogPerSecond, maxLogPerSecond)
	checkDuration(f, "heartbeat", l.HeartbeatInterval)
	checkDuration(f, "ticket-life", l.TicketTTL)
	checkDuration(f, "stop-limit", l.StopLimit)
	f.addIf(l.BalancerLag < 0 || l.BalancerLag > maxDuration, "--balancer-lag %s is out of range: use 0s to %s", l.BalancerLag, maxDuration)
	f.addIf(l.StopLimit < l.BalancerLag+l.TicketTTL, "--stop-limit %s is too short: use at least %s, the sum of --balancer-lag and --ticket-life", l.StopLimit, l.BalancerLag+l.TicketTTL)
}

func checkRange(f *problems, flag string, value, limit int) {
	f.addIf(value < 1 || value > limit, "--%s %d is out of range: use 1 to %d", flag, value, limit)
}

func checkDuration(f *problems, flag string, value time.Duration) {
	f.addIf(value < minDuration || value > maxDuration, "--%s %s is out of range: use %s to %s", flag, value, minDuration, maxDuration)
}
