// Package wqpeer carries messages between the VMs of a tier that follows the
// platform's store: heartbeats over Twirp, and over plain HTTP the store's items,
// for VMs that don't watch the store, and the requests that hubs run.
//
// # Usage
//
// Serve the handler on the VM's peer address, and use the client as the
// controller's transport:
//
//	server := http.Server{Handler: (&wqpeer.Handler{Controller: c, ServeRoute: relay.ServeRoute}).Routes()}
//	c.Peers = &wqpeer.Client{Pool: pool, Controller: c, HTTP: httpClient, Zone: "a", Log: log}
package wqpeer

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqmirror"
	"wisteriaquay/io/wqcontroller"
	"wisteriaquay/io/wqheartbeat"
	"wisteriaquay/io/wqpeerpool"
)

const (
	fetchTimeout  = time.Second // fetchTimeout bounds a fetch of items, which are a megabyte at most.
	maxItemsBytes = 16 << 20    // maxItemsBytes bounds the body of a reply with items.
	maxItemAge    = time.Hour   // maxItemAge is beyond every grace period; an older age means the same.
)

// itemsPath is the path that returns a VM's items.
const itemsPath = "/v1/items"

// textParameter is the query parameter of a VM that can read the field text of items.
const textParameter = "text"

// Client sends messages to peers. Set the exported fields before the first call.
type Client struct {
	Pool       *wqpeerpool.Pool
	Controller *wqcontroller.Controller
	HTTP       *http.Client
	Zone       string                         // Zone is the availability zone of this VM.
	CountBytes func(kind, zone string, n int) // CountBytes, if set, counts the bytes of bodies to and from VMs of a zone.
	// OnHeartbeatFailed, if set, is called when a VM did not answer a heartbeat.
	OnHeartbeatFailed func()
	Log               *slog.Logger

	hubs sync.Map // hubs holds the hubContact of each hub, by id.
}

// itemBatch is the JSON form of a wqmirror.Batch.
type itemBatch struct {
	AsOf  uint64 `json:"as_of"`
	Whole bool   `json:"whole"`
	Items []item `json:"items"`
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Text      string `json:"text,omitempty"` // Text takes the place of Value if that is UTF-8; it compresses better than base64.
	Revision  uint64 `json:"revision"`
	Removed   bool   `json:"removed,omitempty"`
	Unlisted  bool   `json:"unlisted,omitempty"` // Unlisted is that of wqmirror.Item.
	AgeMillis int64  `json:"age_millis"`         // AgeMillis is the time since a VM first read this state from the store.
}

// encodeItem returns the JSON form of an item. Releases before the field Text need
// asText false.
func encodeItem(i wqmirror.Item, asText bool) item {
	encoded := item{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed, Unlisted: i.Unlisted, AgeMillis: i.Age.Milliseconds()}
	if asText && utf8.Valid(i.Value) {
		encoded.Value, encoded.Text = nil, string(i.Value)
	}
	return encoded
}

func (i *item) decode() wqmirror.Item {
	age := time.Duration(min(max(i.AgeMillis, 0), maxItemAge.Milliseconds())) * time.Millisecond
	value := i.Value
	if i.Text != "" {
		value = []byte(i.Text)
	}
	return wqmirror.Item{Key: i.Key, Value: value, Revision: i.Revision, Removed: i.Removed, Unlisted: i.Unlisted, Age: age}
}

// SendHeartbeat sends a message on a new goroutine and passes the outcome to the
// controller.
func (c *Client) SendHeartbeat(e wqmember.Envelope) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), wqmember.DefaultTiming().AckTimeout)
		defer cancel()
		request := wqheartbeat.Encode(e.Message)
		reply, err := c.Pool.PeerClient(e.To.Address).Heartbeat(ctx, request)
		if err != nil {
			c.heartbeatFailed(e)
			return
		}
		c.countBytes("heartbeat", e.To.Zone, proto.Size(request)+proto.Size(reply)) // Before compression.
		m, err := wqheartbeat.Decode(reply)
		if err != nil {
			c.Log.Warn("malformed heartbeat reply; run the same release on all VMs", "peer", e.To.ID, "error", err.Error())
			c.Controller.HeartbeatFailed(e)
			return
		}
		c.Controller.HeartbeatAnswered(e, m)
	}()
}

// FetchItems fetches the items that changed after a store revision from a peer, on
// a new goroutine, and delivers them to the controller. Failures are logged only.
func (c *Client) FetchItems(peer wqmember.Member, afterRevision uint64) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		b, err := c.fetch(ctx, peer, afterRevision)
		if err != nil {
			c.Log.Warn("could not fetch items from a peer; trying another one", "peer", peer.ID, "error", err.Error())
			return
		}
		c.Log.Info("items from a peer", "peer", peer.ID, "after", afterRevision, "as_of", b.StoreRevision, "items", len(b.Items))
		c.Controller.Deliver(ctx, b)
	}()
}

// decodeItems reads a reply with items from a VM of a zone.
func (c *Client) decodeItems(response *http.Response, zone string) (itemBatch, error) {
	received := &countingReader{reader: response.Body}
	defer func() { c.countBytes("items", zone, received.count) }()
	body := io.Reader(received)
	if response.Header.Get("Content-Encoding") == "gzip" {
		expanded, err := gzip.NewReader(received)
		if err != nil {
			return itemBatch{}, err
		}
		body = expanded
	}
	var batch itemBatch
	err := json.NewDecoder(io.LimitReader(body, maxItemsBytes)).Decode(&batch)
	return batch, err
}

// countBytes counts the bytes of messages to and from a VM of a zone, by their kind.
func (c *Client) countBytes(kind, zone string, n int) {
	if c.CountBytes != nil {
		c.CountBytes(kind, zone, n)
	}
}

// countingReader counts the bytes that are read.
type countingReader struct {
	reader io.Reader
	count  int
}

// Read reads and counts.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.count += n
	return n, err
}

func (c *Client) fetch(ctx context.Context, peer wqmember.Member, afterRevision uint64) (wqmirror.Batch, error) {
	url := fmt.Sprintf("http://%s%s?after=%d&%s", peer.Address, itemsPath, afterRevision, textParameter)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return wqmirror.Batch{}, err
	}
	request.Header.Set("Accept-Encoding", "gzip") // Whatever the transport does by default.
	response, err := c.HTTP.Do(request)
	if err != nil {
		return wqmirror.Batch{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return wqmirror.Batch{}, eris.Errorf("status %d", response.StatusCode)
	}
	batch, err := c.decodeItems(response, peer.Zone)
	if err != nil {
		return wqmirror.Batch{}, err
	}
	b := wqmirror.Batch{StoreRevision: batch.AsOf, Full: batch.Whole, Source: peer.ID}
	for i := range batch.Items {
		b.Items = append(b.Items, batch.Items[i].decode())
	}
	return b, nil
}
