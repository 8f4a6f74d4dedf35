// Package wqpeer carries the control messages between the VMs of a tier that
// follows a store: heartbeats by twirp, and the store's items, which a VM that
// the store refuses asks its peers for.
//
// # Usage
//
// Serve the handler on the VM's peer address, and give the client to the keeper:
//
//	server := http.Server{Handler: (&wqpeer.Handler{Keeper: keeper}).Routes()}
//	keeper.Peers = &wqpeer.Client{Pool: pool, Keeper: keeper, HTTP: httpClient, Log: log}
package wqpeer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqmirror"
	"wisteriaquay/io/wqcontroller"
	"wisteriaquay/io/wqheartbeat"
	"wisteriaquay/io/wqpeerpool"
)

const (
	fetchTimeout = time.Second // fetchTimeout bounds a call for items; they are a megabyte at most.
	mostItems    = 16 << 20    // mostItems bounds the body of a reply with items, in bytes.
)

// itemsPath is where a VM answers for its items.
const itemsPath = "/v1/items"

// Client sends messages to peers. Set the exported fields before the first one.
type Client struct {
	Pool       *wqpeerpool.Pool
	Controller *wqcontroller.Controller
	HTTP       *http.Client
	Zone       string // Zone is this VM's own.
	Log        *slog.Logger

	heard sync.Map // heard holds when each hub answered last, by id.
}

// items is a batch on the wire between VMs.
type items struct {
	AsOf  uint64 `json:"as_of"`
	Whole bool   `json:"whole"`
	Items []item `json:"items"`
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Removed   bool   `json:"removed,omitempty"`
	AgeMillis int64  `json:"age_millis"`
}

// SendHeartbeat sends a message on a goroutine of its own.
func (c *Client) SendHeartbeat(s wqmember.Envelope) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), wqmember.DefaultTiming().AckTimeout)
		defer cancel()
		reply, err := c.Pool.PeerClient(s.To.Address).Heartbeat(ctx, wqheartbeat.Encode(s.Message))
		if err != nil {
			c.Controller.HeartbeatFailed(s)
			return
		}
		m, err := wqheartbeat.Decode(reply)
		if err != nil {
			c.Log.Warn("a heartbeat's reply is malformed; check the versions of the VMs", "peer", s.To.ID, "error", err.Error())
			c.Controller.HeartbeatFailed(s)
			return
		}
		c.Controller.HeartbeatAnswered(s, m)
	}()
}

// FetchItems asks a peer for items on a goroutine of its own.
func (c *Client) FetchItems(from wqmember.Member, after uint64) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		b, err := c.fetch(ctx, from, after)
		if err != nil {
			c.Log.Warn("a peer did not give its items; another one will be asked", "peer", from.ID, "error", err.Error())
			return
		}
		c.Log.Info("items from a peer", "peer", from.ID, "after", after, "as_of", b.AsOf, "items", len(b.Items))
		c.Controller.Deliver(ctx, b)
	}()
}

func (c *Client) fetch(ctx context.Context, from wqmember.Member, after uint64) (wqmirror.Batch, error) {
	url := fmt.Sprintf("http://%s%s?after=%d", from.Address, itemsPath, after)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return wqmirror.Batch{}, err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return wqmirror.Batch{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return wqmirror.Batch{}, eris.Errorf("status %d", response.StatusCode)
	}
	var in items
	if err := json.NewDecoder(io.LimitReader(response.Body, mostItems)).Decode(&in); err != nil {
		return wqmirror.Batch{}, err
	}
	b := wqmirror.Batch{AsOf: in.AsOf, Full: in.Whole, Source: from.ID}
	for _, i := range in.Items {
		age := time.Duration(i.AgeMillis) * time.Millisecond
		b.Items = append(b.Items, wqmirror.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed, Age: age})
	}
	return b, nil
}
