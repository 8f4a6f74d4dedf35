// Package wqvmlist is the client of the platform's list of VMs, which seeds the
// membership of the fleet.
//
// The list lags both ways: it misses VMs that have just started and names VMs
// that are gone. Nothing may be decided from it but whom to greet.
//
// # Usage
//
//	c := &wqvmlist.Client{Address: "http://192.0.2.7:8080", Timeout: time.Second, HTTP: http.DefaultClient}
//	vms, err := c.List(ctx)
package wqvmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqfault"
)

const (
	maxReply = 1 << 20 // maxReply bounds the list, in bytes.
	maxVMs   = 8192    // maxVMs bounds the entries of the list.
)

// Client calls one VM list over HTTP. It is safe for concurrent use.
type Client struct {
	URL     string        // URL is the URL of the service, such as http://192.0.2.7:8200.
	Timeout time.Duration // Timeout bounds every call.
	HTTP    *http.Client
}

// VM is one entry of the list.
type VM struct {
	ID       string `json:"id"`
	Address  string `json:"address"` // Address is host:port of the peer listener.
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Stopping bool   `json:"leaving"`
}

// List returns the VMs that the platform believes to exist. A list that cannot
// be had is a wqfault.Unavailable, one that breaks the protocol a
// wqfault.Broken.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	data, err := c.fetch(ctx)
	if err != nil {
		return nil, err
	}
	var reply struct {
		VMs []VM `json:"vms"`
	}
	if err := json.Unmarshal(data, &reply); err != nil {
		return nil, eris.Wrap(broken("the VM list is not the JSON that was asked for"), err.Error())
	}
	if len(reply.VMs) > maxVMs {
		return nil, broken(fmt.Sprintf("the VM list has %d entries, over %d", len(reply.VMs), maxVMs))
	}
	return reply.VMs, nil
}

func (c *Client) fetch(ctx context.Context) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+"/v1/vms", http.NoBody)
	if err != nil {
		return nil, eris.Wrap(broken("the VM list's address "+c.URL+" is malformed"), err.Error())
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, eris.Wrap(unavailable("the VM list did not answer"), err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, unavailable("the VM list answered " + response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReply+1))
	if err != nil {
		return nil, eris.Wrap(unavailable("the VM list broke off"), err.Error())
	}
	if len(data) > maxReply {
		return nil, broken(fmt.Sprintf("the VM list has more than %d bytes", maxReply))
	}
	return data, nil
}

func broken(message string) error {
	return wqfault.New(wqfault.Broken, message, "check the VM list's address")
}

func unavailable(message string) error {
	return wqfault.New(wqfault.Unavailable, message, "try again later")
}
