package wqcontroller

import (
	"time"

	"wisteriaquay/core/wqchange"
	"wisteriaquay/core/wqmember"
	"wisteriaquay/core/wqmirror"
)

// Times for which states from before a restore of the store stay in force that it
// contradicts. Their authors write them again.
const (
	searcherHold = gracePeriod
	// departedHold is for searchers that had left before: the store removes their
	// registrations after three heartbeats without a sign of them.
	departedHold = 5 * time.Second
	operatorHold = 15 * time.Second // operatorHold is for availability zones and orders.
)

const (
	maxEarlierFetches    = 2                      // maxEarlierFetches bounds the peers that are asked for earlier states at the start.
	earlierFetchInterval = 400 * time.Millisecond // earlierFetchInterval is the time that a peer has to answer before the next one is asked.
)

// earlierFetches is the search for a peer that knows the state from before this process
// began, which the store may have lost.
type earlierFetches struct {
	asked  []string
	latest time.Time
}

// supersedes reports whether an item that a restored store lists is newer than the latest
// state of its key that is known. A zone is taken out in any case: too early does less
// harm than too late.
func (c *Controller) supersedes(listed, known wqmirror.Item) bool {
	change := c.decodeRecovering(listed)
	switch change.Kind {
	case wqchange.Configuration:
		before := c.decodeRecovering(known)
		return before.Kind != wqchange.Configuration || change.Table.Version > before.Table.Version
	case wqchange.Registered:
		if len(known.Value) == 0 { // A searcher that has left.
			return false
		}
		before := c.decodeRecovering(known)
		return before.Kind != wqchange.Registered || change.Registration.IsNewer(&before.Registration)
	}
	return true
}

// holdTime returns how long a state from before a restore stays in force.
func (c *Controller) holdTime(i wqmirror.Item) time.Duration {
	switch c.decodeRecovering(wqmirror.Item{Key: i.Key, Revision: i.Revision, Removed: true}).Kind {
	case wqchange.Unregistered:
		if i.Removed {
			return departedHold
		}
		return searcherHold
	case wqchange.ZoneBack, wqchange.RolloutWithdrawn:
		return operatorHold
	case wqchange.InvalidItem: // The configuration, which can't be removed.
		return wqmirror.Forever
	}
	return 0
}

// expireHeld gives up the states from before a restore that nobody has written again.
func (c *Controller) expireHeld(now time.Time) {
	changes := c.mirror.Expire(now)
	for _, i := range changes {
		c.Log.Info("gave up a state from before the restore of the store", "key", i.Key, "removed", i.Removed, "revision", i.Revision)
		c.apply(now, i, c.decodeRecovering(i))
	}
	if len(changes) > 0 {
		c.changeRevision, c.dirty = c.mirror.StoreRevision(), true
	}
}

// fetchEarlierState asks a peer whose process is older for all items, if this one has
// begun with a list of the store: the store may have been restored just before.
func (c *Controller) fetchEarlierState(now time.Time, from wqmember.Member) {
	source := c.mirror.FirstSource(now)
	if source == "" || len(c.earlier.asked) >= maxEarlierFetches || now.Sub(c.earlier.latest) < earlierFetchInterval {
		return
	}
	if _, isPeer := c.members.Member(source); isPeer {
		return
	}
	peer, ok := c.members.Member(from.ID)
	if !ok || from.Revision == 0 || peer.Epoch >= c.members.Self.Epoch || c.confirmedBy == from.ID {
		return
	}
	for _, id := range c.earlier.asked {
		if id == peer.ID {
			return
		}
	}
	c.earlier.asked, c.earlier.latest = append(c.earlier.asked, peer.ID), now
	c.Log.Info("fetching items from a peer", "peer", peer.ID, "zone", peer.Zone, "as_of", 0, "peer_as_of", from.Revision)
	c.Peers.FetchItems(peer, 0)
}
