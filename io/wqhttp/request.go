package wqhttp

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// ErrNoMemory is the error of a body for which there is no memory.
var ErrNoMemory = errors.New("there is no memory for the body of the request; send it again later")

const (
	firstBodyBytes = 4 << 10 // the first part of a body that is read, of at most this length
	refusalDelay   = time.Second
	leaveTime      = 500 * time.Millisecond // for the rest of a body that is not used
)

// The limits of one connection of HTTP/2, which only other VMs use.
const (
	http2Streams      = 100
	http2StreamWindow = 64 << 10
	http2Window       = 128 << 10
	http2FrameBytes   = 16 << 10
	http2HeaderTable  = 4 << 10
)

func (s *Server) enableHTTP2() {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.server.Protocols = protocols
	s.server.MaxHeaderBytes = s.headerLimit()
	s.server.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: http2Streams, MaxReceiveBufferPerConnection: http2Window, MaxReceiveBufferPerStream: http2StreamWindow,
		MaxReadFrameSize: http2FrameBytes, MaxDecoderHeaderTableSize: http2HeaderTable,
	}
}

// headerBytes returns the length of the header of a request, without the separators
// that may be left out.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n\r\n")
	if r.Host != "" {
		n += len("Host:\r\n") + len(r.Host)
	}
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(":\r\n")
		}
	}
	return n
}

// refusal returns a whole reply to a request that has not run. The client is to close the
// connection.
func refusal(code int) string {
	text := "HTTP/1.1 " + strconv.Itoa(code) + " " + http.StatusText(code) + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if code == http.StatusServiceUnavailable {
		text += "Retry-After: " + strconv.Itoa(int(refusalDelay.Seconds())) + "\r\n"
	}
	return text + "\r\n"
}

// ReadBody reads a body and reserves the memory for it as it arrives. Length is that which
// the request states, below 0 for none. The error is ErrNoMemory when the request has to
// be refused. It returns the memory that it reserved.
func ReadBody(c *Connection, body io.Reader, length int64) (data []byte, reserved int64, err error) {
	size := int64(firstBodyBytes)
	for {
		if length >= 0 {
			size = min(size, length)
		}
		if size > reserved {
			if !c.Reserve(size - reserved) {
				return nil, reserved, ErrNoMemory
			}
			data, reserved = append(make([]byte, 0, size), data...), size
		}
		end, err := fill(body, &data)
		if err != nil || end || int64(len(data)) == length {
			return data, reserved, err
		}
		size = 2 * reserved
	}
}

// fill reads until data is full or the body ends. At the end of a body whose length is
// stated, the HTTP server returns it together with the last bytes.
func fill(body io.Reader, data *[]byte) (end bool, err error) {
	for !end && err == nil && len(*data) < cap(*data) {
		var n int
		n, err = body.Read((*data)[len(*data):cap(*data)])
		*data = (*data)[:len(*data)+n]
		if err == io.EOF { //nolint:errorlint // A reader returns it as it is.
			end, err = true, nil
		}
	}
	return end, err
}

// LeaveBodies returns a handler that serves requests without reading their bodies: the
// connection of a request with a body is closed after the reply.
func LeaveBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			LeaveBody(w)
		}
		next.ServeHTTP(w, r)
	})
}

// LeaveBody closes the connection after the reply to a request whose body is not read to
// its end. The server reads a part of the rest for a moment, so that the client gets the
// reply.
func LeaveBody(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(leaveTime)) // Fails only where a test replaces the connection.
}
