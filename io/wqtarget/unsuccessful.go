package wqtarget

import "sync"

// maxUnsuccessfulIDs is the number of ids after which a connection carries no further
// request, which bounds the memory of each.
const maxUnsuccessfulIDs = 256

// unsuccessfulIDs are the ids of the requests that a connection has carried without
// success, and that may be sent again. A searcher may send a second copy of a response
// late, and all tries of a request have the same id: on the same connection the copy
// would be taken for the response to the next try. The zero value is ready to use.
type unsuccessfulIDs struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

// add records the id of a request.
func (u *unsuccessfulIDs) add(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ids == nil {
		u.ids = make(map[string]struct{})
	}
	u.ids[id] = struct{}{}
}

// mayCarry reports whether the connection may carry a request with this id.
func (u *unsuccessfulIDs) mayCarry(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, carried := u.ids[id]
	return !carried && len(u.ids) < maxUnsuccessfulIDs
}
