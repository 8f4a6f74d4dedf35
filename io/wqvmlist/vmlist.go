// Package wqvmlist is the client of the platform's VM list, which seeds the
// membership protocol of the fleet.
//
// The list is eventually consistent: VMs that have just started may be missing, and
// VMs that have ended may still be listed. Use it only to choose the VMs to contact,
// never as evidence that a VM is alive or dead.
//
// # Usage
//
//	c := &wqvmlist.Client{URL: "http://192.0.2.7:8080", Timeout: time.Second, HTTP: http.DefaultClient}
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
	maxReplyBytes = 1 << 20 // maxReplyBytes bounds the body of a reply, in bytes.
	maxVMs        = 8192    // maxVMs bounds the number of listed VMs.
)

// Client reads a VM list over HTTP. It is safe for concurrent use.
type Client struct {
	URL     string        // URL is the base URL of the service, such as http://192.0.2.7:8200.
	Timeout time.Duration // Timeout bounds each call.
	HTTP    *http.Client
}

// VM is a listed VM.
type VM struct {
	ID       string `json:"id"`
	Address  string `json:"address"` // Address is the host:port of its peer listener.
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Stopping bool   `json:"leaving"`
}

// List returns the listed VMs. It returns a wqfault.Unavailable fault when the
// service does not answer with the list, and a wqfault.Broken fault when the reply
// is malformed or too large, or URL is invalid.
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
		return nil, eris.Wrap(broken("the reply of the VM list is not the expected JSON"), err.Error())
	}
	if len(reply.VMs) > maxVMs {
		return nil, broken(fmt.Sprintf("the VM list has %d entries, more than the maximum of %d", len(reply.VMs), maxVMs))
	}
	return reply.VMs, nil
}

func (c *Client) fetch(ctx context.Context) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+"/v1/vms", http.NoBody)
	if err != nil {
		return nil, eris.Wrap(broken("the URL of the VM list "+c.URL+" is malformed"), err.Error())
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, eris.Wrap(unavailable("the call to the VM list failed"), err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, unavailable("the VM list replied with status " + response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return nil, eris.Wrap(unavailable("reading the reply of the VM list failed"), err.Error())
	}
	if len(data) > maxReplyBytes {
		return nil, broken(fmt.Sprintf("the reply of the VM list has more than %d bytes", maxReplyBytes))
	}
	return data, nil
}

func broken(message string) error {
	return wqfault.New(wqfault.Broken, message, "check the URL of the VM list")
}

func unavailable(message string) error {
	return wqfault.New(wqfault.Unavailable, message, "try again later")
}
