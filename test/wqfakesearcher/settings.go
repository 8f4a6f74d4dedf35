package wqfakesearcher

import "time"

// Fault is a fault that a searcher injects into its replies.
type Fault string

// The faults of replies.
const (
	FaultNone          Fault = ""               // FaultNone injects no fault.
	FaultWrongID       Fault = "wrong_id"       // FaultWrongID replies with a wrong request ID.
	FaultWrongSnapshot Fault = "wrong_snapshot" // FaultWrongSnapshot replies with a snapshot other than the requested one.
	FaultTruncated     Fault = "truncated"      // FaultTruncated closes the connection after half of a reply.
	FaultGarbage       Fault = "garbage"        // FaultGarbage replies with bytes that aren't JSON.
	FaultDuplicated    Fault = "doubled"        // FaultDuplicated repeats each result.
	FaultNoReply       Fault = "lost"           // FaultNoReply executes the request and closes the connection without a reply.
)

// Settings are the settings of a searcher; they can be changed while it runs.
// Times are in milliseconds.
type Settings struct {
	Slots           int     `json:"slots"`            // Slots is the largest number of requests executed at once.
	Batch           int     `json:"batch"`            // Batch is the largest number of sub-queries in one request; 0 means 1.
	Connections     int     `json:"connections"`      // Connections is the largest number of open connections.
	ColdSlots       int     `json:"cold_slots"`       // ColdSlots is the largest number of requests at once in cold start; one more crashes the searcher.
	ConnectMillis   float64 `json:"connect_millis"`   // ConnectMillis is the delay of the first request on a connection.
	ServiceMillis   float64 `json:"service_millis"`   // ServiceMillis is the mean time of a request with one sub-query.
	BatchShare      float64 `json:"batch_share"`      // BatchShare is the time that each further sub-query adds, as a share of ServiceMillis.
	StragglerShare  float64 `json:"straggler_share"`  // StragglerShare is the share of requests that take StragglerFactor times as long.
	StragglerFactor float64 `json:"straggler_factor"` // StragglerFactor multiplies the service time of a straggler.
	WarmMillis      float64 `json:"warm_millis"`      // WarmMillis is the duration of the cold start after each start; 0 means none.
	DowntimeMillis  float64 `json:"fall_millis"`      // DowntimeMillis is the time from a crash or restart to the next start.
	OldestSnapshot  uint64  `json:"oldest"`           // OldestSnapshot is the oldest snapshot held.
	NewestSnapshot  uint64  `json:"newest"`           // NewestSnapshot is the newest snapshot held.
	Draining        bool    `json:"draining"`         // Draining makes the searcher refuse all requests.
	MisreportHealth bool    `json:"lying"`            // MisreportHealth makes the health endpoint always report ready, idle, warm and not draining.
	Fault           Fault   `json:"fault"`
	ReportLeaving   bool    `json:"report_leaving"` // ReportLeaving makes every reply say that the searcher is leaving (Server-Leaving).
	RetryAfter      string  `json:"retry_after"`    // RetryAfter is the value of Retry-After in replies with status 503; empty for none.
}

// Execution is one execution of a write-like request.
type Execution struct {
	RequestID   string `json:"request_id"`
	Incarnation string `json:"incarnation"`
	Body        []byte `json:"body"`
}

// Counters counts events since New, over all incarnations.
type Counters struct {
	Requests           uint64 `json:"requests"`
	SubQueries         uint64 `json:"sub_queries"` // SubQueries counts those executed to the end.
	Shed               uint64 `json:"shed"`        // Shed counts requests refused because all slots were taken.
	Cancelled          uint64 `json:"cancelled"`   // Cancelled counts requests ended by their caller or a crash before the reply.
	Crashes            uint64 `json:"falls"`       // Crashes counts overloads in cold start.
	Starts             uint64 `json:"starts"`
	RefusedConnections uint64 `json:"refused_connections"`
	MaxInFlight        int    `json:"max_in_flight"` // MaxInFlight includes the requests that were shed.
	MaxColdInFlight    int    `json:"max_cold_in_flight"`
	MaxConnections     int    `json:"max_connections"` // MaxConnections includes the connections that were refused.
	LargestBatch       int    `json:"largest_batch"`
}

func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
