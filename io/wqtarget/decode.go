package wqtarget

import (
	"encoding/json"
	"fmt"
	"net/http"

	"wisteriaquay/core/wqobservation"
)

func (x *exchange) decodeSearch(raw []byte, batch []Query) (SearchReply, error) {
	reply, err := decodeReply(raw)
	if err != nil {
		return SearchReply{}, x.protocolFailure(err.Error())
	}
	if x.status == http.StatusServiceUnavailable {
		return reply, x.refusalError(reply.Refusal)
	}
	if err := checkReply(&reply, batch); err != nil {
		return SearchReply{}, x.protocolFailure(err.Error())
	}
	x.conn.endRequest(x.number)
	return reply, nil
}

func (x *exchange) decodeWrite(raw []byte, w WriteRequest) (WriteReply, error) {
	var reply WriteReply
	if err := json.Unmarshal(raw, &reply); err != nil {
		return WriteReply{}, x.protocolFailure("the reply is not valid: " + err.Error())
	}
	isRefusal := x.status == http.StatusServiceUnavailable
	if isRefusal && (reply.RequestID == "" || reply.RequestID == w.RequestID) {
		return reply, x.refusalError(reply.Refusal)
	}
	if isRefusal || reply.RequestID != w.RequestID {
		return WriteReply{}, x.protocolFailure(fmt.Sprintf("the reply names request %q instead of %q", reply.RequestID, w.RequestID))
	}
	x.conn.endRequest(x.number)
	return reply, nil
}

// refusalError returns the Failure for a status 503. Only a refusal of the protocol
// proves that nothing ran; a 503 without one may come from an intermediary.
func (x *exchange) refusalError(r Refusal) error {
	switch r.Status() {
	case wqobservation.Answered, wqobservation.Broken:
		return x.protocolFailure("status 503 without a known refusal")
	}
	x.recordUnsuccessful()
	x.conn.endRequest(x.number)
	return x.wrapFailure(newRefusal(x.searcher.ID, r))
}

func decodeReply(raw []byte) (SearchReply, error) {
	var reply SearchReply
	if err := json.Unmarshal(raw, &reply); err != nil {
		return SearchReply{}, fmt.Errorf("the reply is not valid: %w", err)
	}
	return reply, nil
}

// checkReply verifies that the reply has one matching result for each query, in
// the order of the batch.
func checkReply(reply *SearchReply, batch []Query) error {
	if len(reply.Results) != len(batch) {
		return fmt.Errorf("the reply has %d results for %d queries", len(reply.Results), len(batch))
	}
	for i := range batch {
		if err := checkResult(&reply.Results[i], &batch[i]); err != nil {
			return err
		}
	}
	return nil
}

func checkResult(r *Result, q *Query) error {
	if r.RequestID != q.RequestID || r.Shard != q.Shard {
		return fmt.Errorf("a result names request %q and shard %q instead of %q and %q", r.RequestID, r.Shard, q.RequestID, q.Shard)
	}
	if r.Refusal.Status() == wqobservation.Broken {
		return fmt.Errorf("a result has the unknown refusal %q", r.Refusal)
	}
	if r.Refusal != "" {
		return nil
	}
	if q.Snapshot != 0 && r.Snapshot != q.Snapshot {
		return fmt.Errorf("a result is of snapshot %d instead of %d", r.Snapshot, q.Snapshot)
	}
	if len(r.Rows) > q.Limit || int(r.Matched) < len(r.Rows) {
		return fmt.Errorf("a result has %d rows of %d matches for the limit %d", len(r.Rows), r.Matched, q.Limit)
	}
	return nil
}
