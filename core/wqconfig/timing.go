package wqconfig

import "time"

// Timing holds the periods and bounds of a Machine.
type Timing struct {
	Patience   time.Duration // Patience is how long a VM that starts looks for peers before it asks the store.
	Spread     time.Duration // Spread is the mean time between two calls to the store of a whole fleet that has no configuration.
	Retry      time.Duration // Retry is the shortest time until a peer or the store is asked again.
	MaxBackoff time.Duration // MaxBackoff is the longest time until a store that fails is asked again.
	WatchWait  time.Duration // WatchWait is how long one watch waits; a watch that dies silently costs no more.
	Pause      time.Duration // Pause is the shortest time between two calls to the store.
	ReadEvery  time.Duration // ReadEvery is the shortest time between two reads by a watcher, for watches that miss changes.
	ReadRate   float64       // ReadRate bounds what these reads cost, in bytes a second.
	Idle       time.Duration // Idle is the longest time between two ticks.
	Witnesses  int           // Witnesses is how many peers must answer before the first configuration is adopted from peers.
}

// DefaultTiming returns the timing that meets the bound of 7 s from acceptance
// until a change is in force.
func DefaultTiming() Timing {
	return Timing{
		Patience:   300 * time.Millisecond,
		Spread:     10 * time.Millisecond,
		Retry:      200 * time.Millisecond,
		MaxBackoff: 5 * time.Second,
		WatchWait:  3 * time.Second,
		Pause:      50 * time.Millisecond,
		ReadEvery:  2 * time.Second,
		ReadRate:   512,
		Idle:       time.Second,
		Witnesses:  2,
	}
}
