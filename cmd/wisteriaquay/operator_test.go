package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqfault"
	"wisteriaquay/io/wqconnecterror"
	"wisteriaquay/io/wqpb"
	"wisteriaquay/io/wqpb/wqpbconnect"
)

const validNote = `{"id": "n1", "added": {"zones": [{"id": "a", "region": "r"}],
 "searchers": [{"id": "s1", "address": "192.0.2.1:9000", "zone": "a", "service": "bench", "shard": "b1", "slots": 3, "connections": 30}],
 "layouts": [{"service": "bench", "first_snapshot": 1, "shards": ["b1"]}]}}`

// writeFile writes text to a new temporary file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "note.json")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// runProgram runs the program and returns its exit code and its output.
func runProgram(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	code := run(t.Context(), console{&out, &out}, args)
	return code, out.String()
}

func TestCheckValidatesNotesInOrder(t *testing.T) {
	good := writeFile(t, validNote)
	code, out := runProgram(t, "check", good, writeFile(t, `{"id": "n2", "out": ["a"]}`))
	must.Eq(t, exitOK, code, must.Sprint(out))
	must.StrContains(t, out, "it makes revision 2 with 1 searchers")
	code, out = runProgram(t, "check", good, writeFile(t, `{"id": "n2", "out": ["b", "c"]}`))
	must.Eq(t, exitBadInput, code)
	must.StrContains(t, out, "has 2 faults")
	must.StrContains(t, out, "zone b does not exist")
	for _, args := range [][]string{{"check"}, {"check", "/nowhere"}, {"check", writeFile(t, "{")}, {"check", "--settings", "--id=a.b"}} {
		code, _ = runProgram(t, args...)
		must.Eq(t, exitBadInput, code)
	}
}

func TestPublishRefusesBadOptions(t *testing.T) {
	for _, args := range [][]string{
		{"out", "a"},
		{"out", "--operator-token=x"},
		{"out", "--operator-token=x", "--wait=1ms", "a"},
		{"out", "--operator-token=x", "--retry-for=1000h", "a"},
		{"publish", "--operator-token=x", "/nowhere"},
	} {
		code, out := runProgram(t, args...)
		must.Eq(t, exitBadInput, code, must.Sprint(out))
	}
}

// fakeOperatorService answers the first calls with its faults, in their order, and
// accepts the notes of later ones.
type fakeOperatorService struct {
	wqpbconnect.UnimplementedOperatorServiceHandler

	faults      []error
	notes       [][]byte
	vmsNotHeard []string
}

func (s *fakeOperatorService) Publish(_ context.Context, r *connect.Request[wqpb.PublishRequest]) (*connect.Response[wqpb.PublishResponse], error) {
	s.notes = append(s.notes, r.Msg.GetNote())
	if len(s.faults) > 0 {
		fault := s.faults[0]
		s.faults = s.faults[1:]
		return nil, wqconnecterror.Encode(fault)
	}
	return connect.NewResponse(&wqpb.PublishResponse{Revision: 7, VmsInForce: 2, VmsTotal: 3, VmsNotHeard: s.vmsNotHeard}), nil
}

// startFake serves the fake and returns the flag with its URL.
func startFake(t *testing.T, s *fakeOperatorService) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(wqpbconnect.NewOperatorServiceHandler(s))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return "--entry=" + server.URL
}

func TestOutRetriesWithTheSameID(t *testing.T) {
	s := &fakeOperatorService{faults: []error{wqfault.New(wqfault.Unavailable, "the store is down", "again")}}
	code, out := runProgram(t, "out", "--operator-token=x", startFake(t, s), "a")
	must.Eq(t, exitOK, code, must.Sprint(out))
	must.StrContains(t, out, "accepted as revision 7")
	must.Len(t, 2, s.notes)
	must.Eq(t, s.notes[0], s.notes[1])
}

func TestConflictIsNotRetried(t *testing.T) {
	s := &fakeOperatorService{faults: []error{wqfault.New(wqfault.Conflict, "another note came first", "adapt")}}
	code, out := runProgram(t, "publish", "--operator-token=x", startFake(t, s), writeFile(t, validNote))
	must.Eq(t, exitFailed, code)
	must.StrContains(t, out, "another note came first; adapt")
	must.Len(t, 1, s.notes)
}

func TestPublishNamesVMsThatDidNotConfirm(t *testing.T) {
	s := &fakeOperatorService{vmsNotHeard: []string{"vm3"}}
	code, out := runProgram(t, "back", "--operator-token=x", startFake(t, s), "a")
	must.Eq(t, exitFailed, code)
	must.StrContains(t, out, "in force on 2 of 3 VMs")
	must.StrContains(t, out, "not yet confirmed to be in force by vm3")
}
