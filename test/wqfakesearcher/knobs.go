package wqfakesearcher

import "time"

// Fault is how a searcher spoils its replies.
type Fault string

// The faults of replies.
const (
	FaultNone          Fault = ""               // FaultNone spoils nothing.
	FaultWrongID       Fault = "wrong_id"       // FaultWrongID answers with another request's id.
	FaultWrongSnapshot Fault = "wrong_snapshot" // FaultWrongSnapshot answers from another snapshot than asked.
	FaultTruncated     Fault = "truncated"      // FaultTruncated closes the connection inside a reply.
	FaultGarbage       Fault = "garbage"        // FaultGarbage replies with bytes that are not JSON.
	FaultDuplicated    Fault = "doubled"        // FaultDuplicated repeats each result.
	FaultNoReply       Fault = "lost"           // FaultNoReply runs the request and closes the connection without a reply.
)

// Settings is what can be changed while a searcher runs. Times are in milliseconds.
type Settings struct {
	Slots           int     `json:"slots"`
	Batch           int     `json:"batch"`
	Connections     int     `json:"connections"`
	ColdSlots       int     `json:"cold_slots"`       // ColdSlots is how many requests at once it bears in cold start before it falls over.
	ConnectMillis   float64 `json:"connect_millis"`   // ConnectMillis delays the first request of a connection.
	ServiceMillis   float64 `json:"service_millis"`   // ServiceMillis is the mean time of a request with one sub-query.
	BatchShare      float64 `json:"batch_share"`      // BatchShare is what each further sub-query adds, as a share of ServiceMillis.
	StragglerShare  float64 `json:"straggler_share"`  // StragglerShare of the requests take StragglerFactor times as long.
	StragglerFactor float64 `json:"straggler_factor"` // StragglerFactor multiplies the time of a straggler.
	WarmMillis      float64 `json:"warm_millis"`      // WarmMillis is how long its cold start lasts; 0 starts warm.
	DowntimeMillis  float64 `json:"fall_millis"`      // DowntimeMillis is how long it is down after falling over or restarting.
	OldestSnapshot  uint64  `json:"oldest"`           // OldestSnapshot is the oldest snapshot held.
	NewestSnapshot  uint64  `json:"newest"`           // NewestSnapshot is the newest snapshot held.
	Draining        bool    `json:"draining"`
	MisreportHealth bool    `json:"lying"` // MisreportHealth makes the health endpoint always ready, idle and warm.
	Fault           Fault   `json:"fault"`
}

// Execution is one execution of a write-like request.
type Execution struct {
	RequestID   string `json:"request_id"`
	Incarnation string `json:"incarnation"`
	Body        []byte `json:"body"`
}

// Counters tells what a searcher has seen since the program started, over all
// its incarnations.
type Counters struct {
	Requests           uint64 `json:"requests"`
	SubQueries         uint64 `json:"sub_queries"` // SubQueries were run to their end.
	Shed               uint64 `json:"shed"`
	Cancelled          uint64 `json:"cancelled"`
	Crashes            uint64 `json:"falls"` // Crashes counts how often it fell over in cold start.
	Starts             uint64 `json:"starts"`
	RefusedConnections uint64 `json:"refused_connections"`
	MaxInFlight        int    `json:"max_in_flight"` // MaxInFlight includes the requests that were shed.
	MaxColdInFlight    int    `json:"max_cold_in_flight"`
	MaxConnections     int    `json:"max_connections"` // MaxConnections includes the connections that were refused.
	LargestBatch       int    `json:"largest_batch"`
}

func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
