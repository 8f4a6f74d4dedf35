package wqconfig

import "time"

// Timing holds the delays, timeouts and limits of a Syncer. Delays are extended by
// a jitter of up to half.
type Timing struct {
	StartupStoreDelay time.Duration // StartupStoreDelay is the time from Start to the first call to the store; peers may answer before it.
	FleetCallInterval time.Duration // FleetCallInterval is the mean time between two calls to the store, over a whole fleet without configuration; no jitter.
	RetryDelay        time.Duration // RetryDelay is the shortest time from the end of a fetch or a failed store call to the next one.
	MaxBackoff        time.Duration // MaxBackoff is the longest delay after a failed call to the store.
	WatchTimeout      time.Duration // WatchTimeout is the longest duration of one watch, and so of a watch whose connection was lost unnoticed.
	MinCallInterval   time.Duration // MinCallInterval is the shortest time from the end of a call to the store to the next one.
	MinReadInterval   time.Duration // MinReadInterval is the shortest time between two reads by a watcher; the reads find changes that watches missed.
	MaxReadRate       float64       // MaxReadRate limits these reads, in bytes per second.
	MaxTickInterval   time.Duration // MaxTickInterval is the longest time between two ticks; no jitter.
	BootstrapQuorum   int           // BootstrapQuorum is how many peers must answer before the first configuration is adopted from peers; fewer when there are fewer peers.
}

// DefaultTiming returns a timing with which a release note is in force on all VMs
// at most 7 s after it is accepted.
func DefaultTiming() Timing {
	return Timing{
		StartupStoreDelay: 300 * time.Millisecond,
		FleetCallInterval: 10 * time.Millisecond,
		RetryDelay:        200 * time.Millisecond,
		MaxBackoff:        5 * time.Second,
		WatchTimeout:      3 * time.Second,
		MinCallInterval:   50 * time.Millisecond,
		MinReadInterval:   2 * time.Second,
		MaxReadRate:       512,
		MaxTickInterval:   time.Second,
		BootstrapQuorum:   2,
	}
}
