package wqpeer_test

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqcall"
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqroute"
	"wisteriaquay/core/wqtopology"
	"wisteriaquay/io/wqpeer"
	"wisteriaquay/io/wqrelay"
)

// startHub starts a hub that answers each message after latency, as one on the other
// side of a link with this round trip does. It returns the hub and the channel of the
// times in microseconds that the requests had taken by their arrival and the way back.
func startHub(t *testing.T, latency time.Duration) (*wqdirectory.Target, chan int64) {
	elapsed := make(chan int64, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(latency)
		if r.Method == http.MethodGet {
			return
		}
		var request struct {
			ElapsedMicros int64 `json:"elapsed_micros"`
		}
		_ = json.NewDecoder(r.Body).Decode(&request)
		elapsed <- request.ElapsedMicros
		_, _ = io.WriteString(w, `{}`)
	}))
	t.Cleanup(s.Close)
	return &wqdirectory.Target{Searcher: wqtopology.Searcher{ID: "hub", Zone: "b", Address: strings.TrimPrefix(s.URL, "http://")}}, elapsed
}

// The hub must know how much of the caller's time is left when its reply is back, so
// that it replies before the objective: the ping and the way there and back count.
func TestWayToTheHubCountsAgainstTheDeadline(t *testing.T) {
	const latency = 6 * time.Millisecond
	hub, elapsed := startHub(t, latency)
	c := &wqpeer.Client{HTTP: http.DefaultClient, Zone: "a", Log: slog.New(slog.DiscardHandler)}
	call := func() *wqcall.Call { return &wqcall.Call{ID: "q", Arrived: time.Now(), Timeout: time.Second} }
	_, err := c.FanOut(t.Context(), hub, call(), &wqroute.Route{})
	must.NoError(t, err)
	must.GreaterEq(t, (2 * latency).Microseconds(), <-elapsed, must.Sprint("one round trip for the ping, one for the request"))
	_, err = c.FanOut(t.Context(), hub, call(), &wqroute.Route{})
	must.NoError(t, err)
	must.GreaterEq(t, latency.Microseconds(), <-elapsed, must.Sprint("a hub that replied shortly before is not pinged"))
}

func TestHubThatDoesNotAnswerAPingHasNotBegun(t *testing.T) {
	hub, elapsed := startHub(t, time.Second)
	c := &wqpeer.Client{HTTP: http.DefaultClient, Zone: "a", Log: slog.New(slog.DiscardHandler)}
	_, err := c.FanOut(t.Context(), hub, &wqcall.Call{ID: "q", Arrived: time.Now(), Timeout: time.Second}, &wqroute.Route{})
	must.ErrorIs(t, err, wqrelay.ErrHubRefused)
	must.Eq(t, 0, len(elapsed))
}
