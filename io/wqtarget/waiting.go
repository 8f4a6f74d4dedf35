package wqtarget

import (
	"context"
	"sync"
)

// waitingExchanges are the exchanges that wait for a connection, each with the function
// that ends its wait. The zero value is ready to use.
type waitingExchanges struct {
	mu      sync.Mutex
	cancels map[*exchange]context.CancelFunc
}

func (w *waitingExchanges) add(x *exchange, cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancels == nil {
		w.cancels = make(map[*exchange]context.CancelFunc)
	}
	w.cancels[x] = cancel
}

func (w *waitingExchanges) remove(x *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.cancels, x)
}

// withdraw ends the wait of the exchanges that may not be sent any more.
func (w *waitingExchanges) withdraw() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for x, cancel := range w.cancels {
		if !x.mayBeSent() {
			cancel()
			delete(w.cancels, x)
		}
	}
}
