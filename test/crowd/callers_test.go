package crowd_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"wisteriaquay/test/wqfakeplatform"
)

// Guards against headers over the limit that are kept in memory.
func TestHeadersOverTheLimit(t *testing.T) {
	v := startVM(t)
	head := requestHead("/write/x") + "X-Long: "
	v.abuse(v.CallerAddress, clients, func(w io.Writer) error {
		if err := writePieces(w, head, 800<<10/pieceBytes, strings.Repeat("x", pieceBytes)); err != nil {
			return err
		}
		_, err := io.WriteString(w, "\r\n\r\n")
		return err
	})
}

// Guards against a request line or a header line without end that is kept in memory.
func TestHeaderWithoutEndAsOneLongLine(t *testing.T) {
	v := startVM(t)
	v.abuse(v.CallerAddress, clients, func(w io.Writer) error { return writeEndless(w, "GET /one/", repeat("x")) })
}

// Guards against header lines of one name without end that are kept in memory.
func TestHeaderWithoutEndAsManyShortLines(t *testing.T) {
	v := startVM(t)
	v.abuse(v.CallerAddress, clients, func(w io.Writer) error {
		return writeEndless(w, requestHead("/write/x"), repeat("a:b\r\n"))
	})
}

// Guards against header names without end, each of which takes many times its length
// in memory.
func TestHeaderWithoutEndAsManyNames(t *testing.T) {
	v := startVM(t)
	v.abuse(v.CallerAddress, clients, func(w io.Writer) error {
		return writeEndless(w, requestHead("/write/x"), func(i int) string { return names(2000*i, 2000) })
	})
}

// Guards against many headers just within the limit, with as many names as fit, that
// stop short of their end.
func TestHeadersOfManyNamesThatStopShort(t *testing.T) {
	v := startVM(t)
	head := requestHead("/write/x")
	head += names(0, (maxHeaderBytes-len(head)-8)/len(names(0, 1)))
	v.abuse(v.CallerAddress, clients, func(w io.Writer) error { return writePieces(w, head, 0, "") })
}

// names returns n header lines with different short names.
func names(first, n int) string {
	var lines strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&lines, "n%05d:\r\n", first+i)
	}
	return lines.String()
}

// Guards against empty lines before a request that are read without end. Passed before
// the memory budget: a regression guard.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	v := startVM(t)
	v.abuse(v.CallerAddress, clients, func(w io.Writer) error { return writeEndless(w, "\r\n", repeat("\r\n")) })
}

// Guards against many bodies of legal size whose sum exceeds the memory.
func TestWholeBodies(t *testing.T) {
	v := startVM(t)
	for _, s := range v.fleet.SearchersOf("invoices") {
		s.SetBehaviour(wqfakeplatform.Behaviour{ProcessingTime: load / 6})
	}
	head := requestHead("/write/x") + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)
	body := strings.Repeat("x", maxBodyBytes)
	v.abuse(v.CallerAddress, clients, func(w io.Writer) error { return writePieces(w, head, 1, body) })
}

// Guards against bodies that arrive in pieces, stop short of their end and stay open.
func TestBodiesInPiecesThatStopShort(t *testing.T) {
	v := startVM(t)
	head := requestHead("/write/x") + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)
	v.abuse(v.CallerAddress, clients, func(w io.Writer) error {
		return writePieces(w, head, maxBodyBytes/pieceBytes, strings.Repeat("x", pieceBytes-1))
	})
}

// Guards against bodies for paths without a route, which can't be served, that are read.
func TestBodiesWithoutARoute(t *testing.T) {
	v := startVM(t)
	head := requestHead("/none/x") + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)
	v.abuse(v.CallerAddress, clients, func(w io.Writer) error {
		return writePieces(w, head, maxBodyBytes/pieceBytes, strings.Repeat("x", pieceBytes-1))
	})
}

// Guards against chunked bodies that stop short of their end and stay open.
func TestLargeChunksThatStopShort(t *testing.T) {
	v := startVM(t)
	head := requestHead("/write/x") + "Transfer-Encoding: chunked\r\n\r\n"
	v.abuse(v.CallerAddress, clients, func(w io.Writer) error {
		return writePieces(w, head, maxBodyBytes/pieceBytes-1, chunk(strings.Repeat("x", pieceBytes)))
	})
}

// Guards against chunks of one byte, whose framing is five times as long as their data.
func TestOneByteChunksThatStopShort(t *testing.T) {
	v := startVM(t)
	head := requestHead("/write/x") + "Transfer-Encoding: chunked\r\n\r\n"
	const pieces = maxBodyBytes / pieceBytes
	smallChunks := strings.Repeat(chunk("x"), pieceBytes-1)
	v.abuse(v.CallerAddress, clients, func(w io.Writer) error {
		return writePieces(w, head, pieces, smallChunks)
	})
}

// Guards against a chunk extension without end that is kept in memory. Passed before the
// memory budget: a regression guard.
func TestChunkExtensionWithoutEnd(t *testing.T) {
	v := startVM(t)
	head := requestHead("/write/x") + "Transfer-Encoding: chunked\r\n\r\n1;x="
	v.abuse(v.CallerAddress, clients, func(w io.Writer) error { return writeEndless(w, head, repeat("y")) })
}

// Guards against trailers without end that are kept in memory. Passed before the memory
// budget: a regression guard.
func TestTrailersWithoutEnd(t *testing.T) {
	v := startVM(t)
	head := requestHead("/write/x") + "Trailer: T\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("x") + "0\r\n"
	v.abuse(v.CallerAddress, clients, func(w io.Writer) error { return writeEndless(w, head, repeat("T: y\r\n")) })
}

// Guards against responses that are kept in memory for clients that don't read them.
func TestPipelinedRequestsWhoseResponsesNobodyReads(t *testing.T) {
	v := startVM(t)
	for _, s := range v.fleet.SearchersOf("orders") {
		s.SetBehaviour(wqfakeplatform.Behaviour{ResponseBytes: 512 << 10})
	}
	request := "GET /one/x HTTP/1.1\r\nHost: " + wqfakeplatform.Host + "\r\nRequest-Id: abuse\r\nDeadline-Ms: 30000\r\n\r\n"
	v.abuse(v.CallerAddress, clients, func(w io.Writer) error {
		if c, ok := w.(*net.TCPConn); ok {
			_ = c.SetReadBuffer(pieceBytes) // Most of the response has to wait in the VM.
		}
		return writeEndless(w, strings.Repeat(request, 10), repeat(request))
	})
}

// Guards against connections without a request that use up the descriptors.
func TestConnectionsThatSendNothing(t *testing.T) {
	v := startVM(t)
	v.abuse(v.CallerAddress, 2*maxDescriptors, func(io.Writer) error { return nil })
}
