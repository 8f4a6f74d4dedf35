package wqconfig

import "time"

// Timing holds the periods and bounds of a Machine.
type Timing struct {
	StartupStoreDelay time.Duration // StartupStoreDelay is how long a VM that starts looks for peers before it asks the store.
	FleetCallInterval time.Duration // FleetCallInterval is the mean time between two calls to the store of a whole fleet that has no configuration.
	RetryDelay        time.Duration // RetryDelay is the shortest time until a peer or the store is asked again.
	MaxBackoff        time.Duration // MaxBackoff is the longest time until a store that fails is asked again.
	WatchTimeout      time.Duration // WatchTimeout is how long one watch waits; a watch that dies silently costs no more.
	MinCallInterval   time.Duration // MinCallInterval is the shortest time between two calls to the store.
	MinReadInterval   time.Duration // MinReadInterval is the shortest time between two reads by a watcher, for watches that miss changes.
	MaxReadRate       float64       // MaxReadRate bounds what these reads cost, in bytes a second.
	MaxTickInterval   time.Duration // MaxTickInterval is the longest time between two ticks.
	BootstrapQuorum   int           // BootstrapQuorum is how many peers must answer before the first configuration is adopted from peers.
}

// DefaultTiming returns the timing that meets the bound of 7 s from acceptance
// until a change is in force.
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
