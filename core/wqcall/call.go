// Package wqcall holds one request of a caller and the reply to it as plain
// data, whatever protocol carried them.
//
// # Usage
//
// A front end fills a Call and writes out the Reply that the relay returns:
//
//	c := &wqcall.Call{ID: "9c41", Method: "GET", Host: "shop.example", Path: "/parts/2f", Arrived: now}
//	reply := relay.Serve(ctx, c)
//
// Only a Reply whose status is NotRun promises that no searcher ran the call.
package wqcall

import "time"

// Call is one request of a caller.
type Call struct {
	ID      string // ID is the caller's own id of this attempt.
	Method  string
	Host    string // Host is the name that the caller asked for, without a port.
	Path    string // Path is the path as it was sent, still escaped; routes are matched against it.
	Query   string // Query is what follows the question mark as it was sent.
	Header  map[string][]string
	Body    []byte
	Arrived time.Time
	Timeout time.Duration // Timeout is how long the caller waits from Arrived; 0 means as long as the route allows.
}
