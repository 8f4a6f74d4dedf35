// Package wqstore is the client of the platform's key-value service, which holds
// all state that must survive the VMs.
//
// The service offers reads, compare-and-swap, long-poll watches and leases; its
// calls are described in docs/PROTOCOLS.md. Every call ends within Timeout (a
// watch within maxWait plus Timeout) and counts once against the service's rate
// limit.
//
// # Usage
//
//	c := &wqstore.Client{URL: "http://192.0.2.7:8200", Timeout: time.Second, HTTP: http.DefaultClient}
//	v, err := c.Get(ctx, "head")
//	revision, err := c.CompareAndSwap(ctx, wqstore.SwapRequest{Key: "head", Data: data, IfRevision: v.Revision})
//
// A failed call has the kind wqfault.Unavailable. A swap or a lease call that may
// have taken effect although its reply is missing has the kind
// wqfault.OutcomeUnknown; read the key before the swap is retried.
package wqstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqfault"
)

// MaxValueBytes is the largest value that the service holds, in bytes.
const MaxValueBytes = 1 << 20

// maxReplyBytes bounds the body of a reply: a page of values, plus one value that
// exceeds the page, in base64 with the JSON around them.
const maxReplyBytes = 2*MaxValueBytes*4/3 + 1<<20

// Client calls one key-value service over HTTP. It is safe for concurrent use.
type Client struct {
	URL     string        // URL is the URL of the service, such as http://192.0.2.7:8200.
	Timeout time.Duration // Timeout bounds every call; a watch may take its maxWait longer.
	HTTP    *http.Client
}

// Value is the value of one key. Revision 0 means that the key does not exist.
type Value struct {
	Key      string
	Data     []byte
	Revision uint64 // Revision grows with every write of this key.
}

// SwapRequest holds the parameters of a compare-and-swap.
type SwapRequest struct {
	Key        string
	Data       []byte // Data has at most MaxValueBytes.
	IfRevision uint64 // IfRevision is the expected revision of the key; 0 means that it must not exist.
	LeaseID    string // LeaseID is the lease whose end removes the key; empty means none.
}

// Get reads a key; a missing key has revision 0. The value may be stale.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return c.read(ctx, "/v1/values/"+url.PathEscape(key))
}

// Watch waits until the key's revision is higher than afterRevision and returns
// the value, or one with revision 0 when that takes longer than maxWait.
func (c *Client) Watch(ctx context.Context, key string, afterRevision uint64, maxWait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWait+c.Timeout)
	defer cancel()
	query := url.Values{}
	query.Set("after", strconv.FormatUint(afterRevision, 10))
	query.Set("wait_millis", strconv.FormatInt(maxWait.Milliseconds(), 10))
	return c.read(ctx, "/v1/watch/"+url.PathEscape(key)+"?"+query.Encode())
}

// CompareAndSwap replaces a key's value and returns its new revision. When the
// key is at another revision, it returns that one and a wqfault.Conflict; when
// the reply is missing, it returns a wqfault.OutcomeUnknown.
func (c *Client) CompareAndSwap(ctx context.Context, r SwapRequest) (uint64, error) {
	if len(r.Data) > MaxValueBytes {
		message := fmt.Sprintf("the value of %s has %d bytes; the store holds %d", r.Key, len(r.Data), MaxValueBytes)
		return 0, wqfault.New(wqfault.BadInput, message, "store a smaller value")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	status, body, err := c.call(ctx, http.MethodPut, "/v1/values/"+url.PathEscape(r.Key), struct {
		Value      []byte `json:"value"`
		IfRevision uint64 `json:"if_revision"`
		LeaseID    string `json:"lease_id,omitempty"`
	}{r.Data, r.IfRevision, r.LeaseID})
	if err != nil {
		return 0, err
	}
	var reply struct {
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		return 0, outcomeUnknown("the reply to the compare-and-swap is not the expected JSON")
	}
	if status == http.StatusConflict {
		message := fmt.Sprintf("%s is at revision %d, not %d", r.Key, reply.Revision, r.IfRevision)
		return reply.Revision, wqfault.New(wqfault.Conflict, message, "read the key and swap again")
	}
	return reply.Revision, nil
}

// GrantLease creates a lease that expires after ttl unless it is renewed, and
// returns its id.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	_, body, err := c.call(ctx, http.MethodPost, "/v1/leases", struct {
		TTLMillis int64 `json:"ttl_millis"`
	}{ttl.Milliseconds()})
	if err != nil {
		return "", err
	}
	var reply struct {
		LeaseID string `json:"lease_id"`
	}
	if err := json.Unmarshal(body, &reply); err != nil || reply.LeaseID == "" {
		return "", outcomeUnknown("the reply contains no lease id")
	}
	return reply.LeaseID, nil
}

// RenewLease extends a lease by its TTL. For an expired lease the error is a
// wqfault.UnknownName.
func (c *Client) RenewLease(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	status, _, err := c.call(ctx, http.MethodPut, "/v1/leases/"+url.PathEscape(id), nil)
	if err != nil {
		return err
	}
	if status == http.StatusNotFound {
		return wqfault.New(wqfault.UnknownName, "lease "+id+" has expired", "grant a new lease")
	}
	return nil
}

// RevokeLease ends a lease now and removes its keys.
func (c *Client) RevokeLease(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	_, _, err := c.call(ctx, http.MethodDelete, "/v1/leases/"+url.PathEscape(id), nil)
	return err
}

// read returns the value at a path, or one with revision 0 when there is none.
func (c *Client) read(ctx context.Context, path string) (Value, error) {
	status, body, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return Value{}, err
	}
	if status != http.StatusOK {
		return Value{}, nil
	}
	var reply struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		message := "the store's reply is not the expected JSON"
		return Value{}, eris.Wrap(wqfault.New(wqfault.Broken, message, "check the URL of the store"), err.Error())
	}
	return Value{Key: reply.Key, Data: reply.Value, Revision: reply.Revision}, nil
}

// call sends one request and returns the status and the body of the reply. A
// status other than 200, 204, 404 or 409 is an error.
func (c *Client) call(ctx context.Context, method, path string, body any) (int, []byte, error) {
	response, err := c.Do(ctx, method, path, body)
	if err != nil {
		return 0, nil, err
	}
	switch response.Status {
	case http.StatusOK, http.StatusNoContent, http.StatusNotFound, http.StatusConflict:
		return response.Status, response.Body, nil
	}
	return 0, nil, callError(method, eris.Errorf("status %d", response.Status))
}

// Response is the reply to a request of Do.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends one request, with body as JSON unless it is nil, and returns the reply
// whatever its status. Timeout does not apply: the caller bounds the time by ctx. It
// serves stores with other calls than those of this package.
func (c *Client) Do(ctx context.Context, method, path string, body any) (Response, error) {
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return Response{}, err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Response{}, callError(method, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return Response{}, callError(method, err)
	}
	if len(data) > maxReplyBytes {
		message := fmt.Sprintf("the store's reply has more than %d bytes", maxReplyBytes)
		return Response{}, wqfault.New(wqfault.Broken, message, "check the URL of the store")
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: data}, nil
}

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var payload io.Reader = http.NoBody
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, eris.Wrap(err, "encode the request")
		}
		payload = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.URL+path, payload)
	if err != nil {
		fault := wqfault.New(wqfault.BadInput, "the store's address "+c.URL+" is malformed", "set it to a URL such as http://192.0.2.7:8200")
		return nil, eris.Wrap(fault, err.Error())
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
