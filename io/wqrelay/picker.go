package wqrelay

import (
	"wisteriaquay/core/wqexclusion"
	"wisteriaquay/core/wqselector"
)

// searcherPicker is the policy that chooses the searcher of each send. Policies that
// restrict the choice wrap the one that makes it.
type searcherPicker = wqexclusion.Picker[wqselector.LeastLatency]

// newPicker returns the policy for one request. SenderCount is the number of VMs that
// send to the same searchers.
func (r *Relay[S, P]) newPicker(senderCount int) searcherPicker {
	return searcherPicker{
		Inner:      wqselector.LeastLatency{Tracker: r.Tracker, Zone: r.Zone, SenderCount: senderCount},
		Statements: r.Statements,
	}
}
