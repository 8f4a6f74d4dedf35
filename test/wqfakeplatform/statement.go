package wqfakeplatform

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// Arrival is one request that reached a searcher, whether it executed it or not.
type Arrival struct {
	RequestID string
	At        time.Time
	Behaviour Behaviour // Behaviour is how the searcher handles it.
}

// Arrivals returns a copy of all arrivals so far, oldest first.
func (s *Searcher) Arrivals() []Arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Restart closes the searcher's connections and lets it start again under its ID and
// address, without faults. Register it afterwards.
func (s *Searcher) Restart() {
	s.server.CloseClientConnections()
	s.SetBehaviour(Behaviour{})
	s.StartMillis = max(s.StartMillis+1, time.Now().UnixMilli())
}

// setHeader sets the fields in which a searcher reports about itself.
func (b Behaviour) setHeader(h http.Header) {
	if b.Leaving {
		h.Set("Server-Leaving", "1")
	}
	if b.Limit != "" {
		h.Set("Server-Limit", b.Limit)
	}
	if b.Shed && b.RetryAfter != "" {
		h.Set("Retry-After", b.RetryAfter)
	}
}

// rawHeader is setHeader for responses that are written without a server.
func (b Behaviour) rawHeader() string {
	raw := ""
	if b.Leaving {
		raw += "Server-Leaving: 1\r\n"
	}
	if b.Limit != "" {
		raw += "Server-Limit: " + b.Limit + "\r\n"
	}
	return raw
}

// Replies returns all replies so far by request id.
func (f *Fleet) Replies() map[string]Reply {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	byID := make(map[string]Reply, len(f.replies))
	for i := range f.replies {
		byID[f.replies[i].RequestID] = f.replies[i]
	}
	return byID
}

// PassedOn reports whether the reply is or includes the response of a searcher.
func (r *Reply) PassedOn(s *Searcher) bool {
	stamps := r.Header.Get("Server-Stamp") + ", " + r.Header.Get("Part-Stamps")
	return slices.Contains(strings.Split(stamps, ", "), Stamp(s.ID, r.RequestID))
}
