package wqfakeplatform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/shoenig/test/must"
)

// Reply is the outcome of one request, as its caller observed it.
type Reply struct {
	RequestID string
	Method    string
	Target    string // Target is the request target: path and query.
	VM        string
	SentAt    time.Time
	Latency   time.Duration // Latency is from SentAt to the end of the body or the error.
	Code      int           // Code is the HTTP status, or 0 if the connection ended before the end of the answer.
	Header    http.Header
	Body      []byte
	Err       error
}

// Send sends one request with this deadline to a VM and records and returns the
// reply.
func (f *Fleet) Send(vm *VM, method, target, body string, deadline time.Duration) Reply {
	return f.SendAndCancel(vm, method, target, body, deadline, deadline)
}

// SendWithHeader is Send for a caller that sets header fields of its own.
func (f *Fleet) SendWithHeader(vm *VM, method, target, body string, deadline time.Duration, header http.Header) Reply {
	return f.send(vm, method, target, body, deadline, deadline, header)
}

// SendAndCancel is Send for a caller that closes the connection after
// cancelAfter, before its deadline.
func (f *Fleet) SendAndCancel(vm *VM, method, target, body string, deadline, cancelAfter time.Duration) Reply {
	return f.send(vm, method, target, body, deadline, cancelAfter, nil)
}

func (f *Fleet) send(vm *VM, method, target, body string, deadline, cancelAfter time.Duration, header http.Header) Reply {
	id := fmt.Sprintf("q%06d", f.sequence.Add(1))
	r := Reply{RequestID: id, Method: method, Target: target, VM: vm.Name, SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), cancelAfter)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+vm.CallerAddress+target, strings.NewReader(body))
	must.NoError(f.t, err)
	request.Host = Host
	request.GetBody = nil
	maps.Copy(request.Header, header)
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := f.httpClient.Do(request)
	if err == nil {
		r.Code, r.Header = response.StatusCode, response.Header
		r.Body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	if err != nil {
		r.Code, r.Err = 0, err
	}
	r.Latency = time.Since(r.SentAt)
	f.mutex.Lock()
	f.replies = append(f.replies, r)
	f.mutex.Unlock()
	return r
}

// MissingShards returns the number of shards that are missing from a fan-out's
// answer, from its Missing-Parts header.
func (r *Reply) MissingShards() int {
	n, _ := strconv.Atoi(r.Header.Get("Missing-Parts")) // An absent header means none.
	return n
}

// Violations checks all replies so far and returns one line for each reply that
// violates a guarantee: a write is executed at most once, and not at all if it
// was refused with 503 or 429; an answer with 200 is complete and unaltered, and
// a fan-out's answer accounts for all shards of one of shardSets, the shards of
// each configuration that was in force.
func (f *Fleet) Violations(shardSets ...[]string) []string {
	f.mutex.Lock()
	replies, searchers := slices.Clone(f.replies), slices.Clone(f.Searchers)
	f.mutex.Unlock()
	executions := make(map[string][]Execution)
	services := make(map[string]string)
	for _, s := range searchers {
		services[s.ID] = s.Service
		for _, r := range s.Executions() {
			executions[r.RequestID] = append(executions[r.RequestID], r)
		}
	}
	var violations []string
	for i := range replies {
		r := &replies[i]
		if violation := checkReply(r, executions[r.RequestID], services, shardSets); violation != "" {
			violations = append(violations, fmt.Sprintf("%s %s %s at %s: %s", r.RequestID, r.Method, r.Target, r.VM, violation))
		}
	}
	return violations
}

func checkReply(r *Reply, executions []Execution, services map[string]string, shardSets [][]string) string {
	write := strings.HasPrefix(r.Target, "/write/")
	if write && len(executions) > 1 {
		return "executed more than once"
	}
	switch r.Code {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if write && len(executions) > 0 {
			return "refused as not executed, but a searcher executed it"
		}
	case http.StatusOK:
		return checkAnswer(r, services, shardSets)
	}
	return ""
}

func checkAnswer(r *Reply, services map[string]string, shardSets [][]string) string {
	if !strings.HasPrefix(r.Target, "/all/") {
		id, _, _ := strings.Cut(r.Header.Get("Server-Stamp"), ".")
		if r.Header.Get("Server-Stamp") != Stamp(id, r.RequestID) || !bytes.Equal(r.Body, ResponseBody(services[id], r.RequestID)) {
			return "the answer differs from the searcher's answer"
		}
		return ""
	}
	var answered []string
	var records [][]byte
	for _, stamp := range strings.Split(r.Header.Get("Part-Stamps"), ", ") {
		id, _, _ := strings.Cut(stamp, ".")
		if stamp != Stamp(id, r.RequestID) || slices.Contains(answered, services[id]) {
			return "Part-Stamps names a wrong searcher or request, or a service twice"
		}
		answered = append(answered, services[id])
		records = slices.AppendSeq(records, slices.Chunk(ResponseBody(services[id], r.RequestID), 16))
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := bytes.Join(records[:min(topRecords, len(records))], nil); !bytes.Equal(want, r.Body) {
		return "the records are not the greatest of the services in Part-Stamps"
	}
	for _, shardSet := range shardSets {
		if len(shardSet) == len(answered)+r.MissingShards() && !slices.ContainsFunc(answered, func(s string) bool { return !slices.Contains(shardSet, s) }) {
			return ""
		}
	}
	return fmt.Sprintf("%d services that answered and %d missing shards match no configuration's shards", len(answered), r.MissingShards())
}
