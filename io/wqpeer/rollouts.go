package wqpeer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqrollout"
)

const (
	rolloutsPath     = "/v1/rollouts"         // rolloutsPath is the path that exchanges reports and directives about rollouts.
	rolloutsTimeout  = 900 * time.Millisecond // rolloutsTimeout is under the time in which three lost reports make another VM coordinate.
	maxRolloutsBytes = 1 << 20                // maxRolloutsBytes bounds a message; a report with 20 routes of 9 searchers takes 20 KB.
)

// SendRollouts sends a message about rollouts on a new goroutine and passes the outcome to
// the controller.
func (c *Client) SendRollouts(to wqmember.Member, m wqrollout.Message) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rolloutsTimeout)
		defer cancel()
		reply, err := c.postRollouts(ctx, to, m)
		if err != nil {
			c.Log.Info("rollout message not answered", "peer", to.ID, "error", err.Error())
			c.Controller.RolloutsFailed(to.ID)
			return
		}
		c.Controller.RolloutsReplied(reply)
	}()
}

func (c *Client) postRollouts(ctx context.Context, to wqmember.Member, m wqrollout.Message) (wqrollout.Message, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return wqrollout.Message{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+rolloutsPath, bytes.NewReader(data))
	if err != nil {
		return wqrollout.Message{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.HTTP.Do(request)
	if err != nil {
		return wqrollout.Message{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return wqrollout.Message{}, eris.Errorf("status %d", response.StatusCode)
	}
	received, err := io.ReadAll(io.LimitReader(response.Body, maxRolloutsBytes))
	if err != nil {
		return wqrollout.Message{}, err
	}
	c.countBytes("rollouts", to.Zone, len(data)+len(received))
	var reply wqrollout.Message
	err = json.Unmarshal(received, &reply)
	return reply, err
}

// serveRollouts takes in a message about rollouts and replies with directives.
func (h *Handler) serveRollouts(w http.ResponseWriter, r *http.Request) {
	var m wqrollout.Message
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRolloutsBytes)).Decode(&m); err != nil {
		http.Error(w, "the message can't be read; run the same release on all VMs", http.StatusBadRequest)
		return
	}
	reply, ok := h.Controller.RolloutsReceived(r.Context(), m)
	if !ok {
		http.Error(w, "this VM is stopping; send to another one", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply) // On an error the peer sends its totals again.
}
