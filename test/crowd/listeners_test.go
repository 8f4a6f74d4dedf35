package crowd_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// abuseListener runs the kinds of abuse that fit a listener that is not for callers,
// each on a VM of its own. The body has to be one that the listener reads, if it reads
// any. Trailers on all listeners, and chunked bodies on those that read no body, passed
// before the memory budget: regression guards.
func abuseListener(t *testing.T, address func(*vm) string, path, body string) {
	t.Helper()
	chunked := requestHead(path) + "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, run := range map[string]func(io.Writer) error{
		"long line": func(w io.Writer) error { return writeEndless(w, "GET /", repeat("x")) },
		"many names": func(w io.Writer) error {
			return writeEndless(w, requestHead(path), func(i int) string { return names(2000*i, 2000) })
		},
		"bodies that stop short": func(w io.Writer) error {
			head := requestHead(path) + fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", 4<<20, body)
			return writePieces(w, head, 32, strings.Repeat("x", pieceBytes))
		},
		"chunked bodies that stop short": func(w io.Writer) error {
			return writePieces(w, chunked+chunk(body), 32, chunk(strings.Repeat("x", pieceBytes)))
		},
		"trailers": func(w io.Writer) error {
			return writeEndless(w, chunked+chunk("{}")+"0\r\n", repeat("T: y\r\n"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			v := startVM(t)
			v.abuse(address(v), clients, run)
		})
	}
	t.Run("silent connections", func(t *testing.T) {
		v := startVM(t)
		v.abuse(address(v), 2*maxDescriptors, func(io.Writer) error { return nil })
	})
}

// Guards against a VM that ends because of connections to its peer address.
func TestAbuseOfThePeerAddress(t *testing.T) {
	abuseListener(t, func(v *vm) string { return v.PeerAddress }, "/v1/fan", `{"path":"`)
}

// Guards against a VM that ends because of connections to its readiness address.
func TestAbuseOfTheReadinessAddress(t *testing.T) {
	abuseListener(t, func(v *vm) string { return v.ReadinessAddress }, "/readiness", "")
}

// Guards against a VM that ends because of connections to its metrics address.
func TestAbuseOfTheMetricsAddress(t *testing.T) {
	abuseListener(t, func(v *vm) string { return v.MetricsAddress }, "/metrics", "")
}

// stalledBody is a body that delivers some pieces and then waits until done.
type stalledBody struct {
	pieces int
	done   <-chan struct{}
}

// Read returns the next piece.
func (b *stalledBody) Read(p []byte) (int, error) {
	if b.pieces == 0 {
		<-b.done
		return 0, io.ErrUnexpectedEOF
	}
	b.pieces--
	time.Sleep(pieceDelay)
	return copy(p, strings.Repeat("x", pieceBytes)), nil
}

// Guards against bodies on streams of HTTP/2 that stop short, of which one connection
// carries several.
func TestHTTP2BodiesOnThePeerAddressThatStopShort(t *testing.T) {
	const streams = 4
	v := startVM(t)
	v.abuse(v.PeerAddress, clients/streams, func(w io.Writer) error {
		ctx, cancel := context.WithTimeout(t.Context(), load)
		defer cancel()
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) { return w.(net.Conn), nil }}
		defer transport.CloseIdleConnections()
		var g sync.WaitGroup
		for range streams {
			g.Go(func() {
				body := io.MultiReader(strings.NewReader(`{"path":"`), &stalledBody{pieces: 32, done: ctx.Done()})
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.PeerAddress+"/v1/fan", body)
				must.NoError(t, err)
				if response, err := transport.RoundTrip(request); err == nil {
					_ = response.Body.Close()
				}
			})
		}
		g.Wait()
		return io.ErrClosedPipe
	})
}
