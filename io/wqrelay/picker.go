package wqrelay

import "wisteriaquay/core/wqselector"

// searcherPicker is the policy that chooses the searcher of each send. Policies that
// restrict the choice wrap the one that makes it.
type searcherPicker = wqselector.LeastWork

// newPicker returns the policy for one request. SenderCount is the number of VMs that
// send to the same searchers.
func (r *Relay[S, P]) newPicker(senderCount int, placed placedRequest) searcherPicker {
	p := placed.policy
	p.LeastLatency = wqselector.LeastLatency{Tracker: r.Tracker, Zone: r.Zone, SenderCount: senderCount}
	return p
}
