package wqticket

// Outcome is what is known of a write-like request.
type Outcome uint8

// The outcomes. Done and NotRun are final; Unknown may become either when a
// holder is heard from again.
const (
	Pending Outcome = iota // Pending means that it is running or not sent yet.
	Done                   // Done means that it ran once.
	NotRun                 // NotRun means that it did not run and never will under its ticket.
	Unknown                // Unknown means that it may have run; it is never sent again.
)

// Result is an outcome with what the caller needs to act on it.
type Result struct {
	Outcome Outcome
	Body    []byte // Body is the target's reply when the request is done.
	Reason  string // Reason says why the outcome is not Done.
	Remedy  string // Remedy says what the caller can do.
}

// Dispatch says where a write-like request was sent.
type Dispatch struct {
	Holder      string // Holder is the id of the VM that sends it to the searcher.
	HolderEpoch uint64 // HolderEpoch is the start of that VM.
	Searcher    string
}

// Decision is what the VM that minted a ticket does with a request that brings it.
type Decision struct {
	Run          bool     // Run is true for the one request that may dispatch.
	Result       Result   // Result is what is known when Run is false.
	LastDispatch Dispatch // LastDispatch is where it was last sent; the zero value when it never was.
}
