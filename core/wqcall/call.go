// Package wqcall holds a caller's request and the reply to it as plain data,
// independent of the protocol that carries them.
//
// # Usage
//
// A front end fills a Call and encodes the Reply that the relay returns:
//
//	c := &wqcall.Call{ID: "9c41", Method: "GET", Host: "shop.example", Path: "/parts/2f", Arrived: now}
//	reply := relay.Serve(ctx, c)
//
// Only a Reply with the status NotRun promises that no searcher ran the call, so
// that the caller may retry it safely.
package wqcall

import "time"

// Call is one attempt of a caller's request.
type Call struct {
	ID     string // set by the caller, new for each attempt
	Method string
	Host   string // host name that the caller requested, without a port
	Path   string // as it was sent, still escaped; routes are matched against it
	Query  string // text after the question mark, as it was sent
	Header map[string][]string
	Body   []byte
	// Authorization holds the values of the header field, which are not in Header.
	// A sender passes them on unless Identified is true.
	Authorization []string
	// Identified is true once the caller's client account was determined. A sender then
	// sets the account to Tenant, whatever the caller sent, and to none if it is empty.
	Identified bool
	Tenant     string // client account of the caller; empty for an anonymous caller
	Key        KeyUse // how the caller was identified; zero for an anonymous caller
	// Late is true if the call has waited elsewhere for so long that an answer within the
	// objective of its route can't be expected, as after a refusal.
	Late      bool
	Priority  int           // rank of the call, 0 is the highest: that of the client account, else of the route
	ChargedAt time.Time     // when the call was counted against the quota of its account; zero if it was not
	Arrived   time.Time     // when the first VM received its header
	Timeout   time.Duration // how long the caller waits, from Arrived; 0 means as long as the route allows
}
