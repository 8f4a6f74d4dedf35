package wqfakeplatform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/shoenig/test/must"
)

// Reply is what a caller got for one request.
type Reply struct {
	RequestID string
	Method    string
	Target    string
	VM        string
	SentAt    time.Time
	Latency   time.Duration
	Code      int // Code is 0 when the connection ended without an answer.
	Header    http.Header
	Body      []byte
	Err       error
}

// Send sends one request to a VM and records what came back.
func (f *Fleet) Send(vm *VM, method, target, body string, deadline time.Duration) Reply {
	return f.SendAndCancel(vm, method, target, body, deadline, deadline)
}

// SendAndCancel is Ask for a caller that leaves before its deadline.
func (f *Fleet) SendAndCancel(vm *VM, method, target, body string, deadline, cancelAfter time.Duration) Reply {
	id := fmt.Sprintf("q%06d", f.numbers.Add(1))
	r := Reply{RequestID: id, Method: method, Target: target, VM: vm.Name, SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), cancelAfter)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+vm.CallerAddress+target, strings.NewReader(body))
	must.NoError(f.t, err)
	request.Host = Host
	request.GetBody = nil
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := f.client.Do(request)
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

// MissingShards returns how many shards an answer leaves out.
func (r *Reply) MissingShards() int {
	n, _ := strconv.Atoi(r.Header.Get("Missing-Parts")) // An absent header means none.
	return n
}

// Violations returns every promise that what callers and searchers saw breaks.
func (f *Fleet) Violations(sets ...[]string) []string {
	f.mutex.Lock()
	replies, searchers := slices.Clone(f.replies), slices.Clone(f.Searchers)
	f.mutex.Unlock()
	runs := make(map[string][]Execution)
	services := make(map[string]string)
	for _, s := range searchers {
		services[s.ID] = s.Service
		for _, r := range s.Executions() {
			runs[r.RequestID] = append(runs[r.RequestID], r)
		}
	}
	var broken []string
	for i := range replies {
		r := &replies[i]
		if fault := checkReply(r, runs[r.RequestID], services, sets); fault != "" {
			broken = append(broken, fmt.Sprintf("%s %s %s at %s: %s", r.RequestID, r.Method, r.Target, r.VM, fault))
		}
	}
	return broken
}

func checkReply(r *Reply, runs []Execution, services map[string]string, sets [][]string) string {
	write := strings.HasPrefix(r.Target, "/write/")
	if write && len(runs) > 1 {
		return "ran more than once"
	}
	switch r.Code {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if write && len(runs) > 0 {
			return "refused as not run, but it ran"
		}
	case http.StatusOK:
		return checkAnswer(r, services, sets)
	}
	return ""
}

func checkAnswer(r *Reply, services map[string]string, sets [][]string) string {
	if !strings.HasPrefix(r.Target, "/all/") {
		id, _, _ := strings.Cut(r.Header.Get("Server-Stamp"), ".")
		if r.Header.Get("Server-Stamp") != Stamp(id, r.RequestID) || !bytes.Equal(r.Body, ResponseBody(services[id], r.RequestID)) {
			return "the answer is not the searcher's whole answer"
		}
		return ""
	}
	var named []string
	var records [][]byte
	for _, stamp := range strings.Split(r.Header.Get("Part-Stamps"), ", ") {
		id, _, _ := strings.Cut(stamp, ".")
		if stamp != Stamp(id, r.RequestID) || slices.Contains(named, services[id]) {
			return "a part's signature is wrong or doubled"
		}
		named = append(named, services[id])
		records = slices.AppendSeq(records, slices.Chunk(ResponseBody(services[id], r.RequestID), 16))
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := bytes.Join(records[:min(topRecords, len(records))], nil); !bytes.Equal(want, r.Body) {
		return "the records are not the greatest of the parts named"
	}
	for _, set := range sets {
		if len(set) == len(named)+r.MissingShards() && !slices.ContainsFunc(named, func(s string) bool { return !slices.Contains(set, s) }) {
			return ""
		}
	}
	return fmt.Sprintf("%d parts and %d missing are no version's set", len(named), r.MissingShards())
}
