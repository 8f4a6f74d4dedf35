package wqticket

// Outcome is whether a write-like request has run.
type Outcome uint8

// The outcomes. Done and NotRun are final; Unknown changes to either one when a
// holder reports it.
const (
	Pending Outcome = iota // Pending means that the request is running or not sent yet.
	Done                   // Done means that the request ran once.
	NotRun                 // NotRun means that the request did not run and never will under its ticket.
	Unknown                // Unknown means that the request may have run; it is not sent again.
)

// Result is the outcome of a request with the reply or the reason.
type Result struct {
	Outcome Outcome
	Body    []byte // reply of the searcher when the outcome is Done
	Reason  string // why the outcome is not Done, or has no Body
	Remedy  string // what the caller can do
}

// Dispatch identifies one send of a write-like request.
type Dispatch struct {
	Holder      string // id of the VM that sends the request to the searcher
	HolderEpoch uint64 // epoch of that VM
	Searcher    string // id of the searcher
}

// Decision is what the VM that minted a ticket does with a request under it.
type Decision struct {
	Run          bool     // true for the one request that may be dispatched
	Result       Result   // recorded result when Run is false
	LastDispatch Dispatch // zero when the request was never sent
}
