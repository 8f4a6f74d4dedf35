package wqquotaledger

import "wisteriaquay/core/wqquota"

// Parts of the quota and of the reserve.
const (
	usableReserve = 0.5  // An owner grants this part beside the quota in a window, so that a request under the quota is not refused for those that VMs admitted beyond it before strict mode.
	bucketReserve = 0.25 // An owner grants this part beside the burst, so that a request under the quota is not refused for the order in which reports arrive.
	entryQuota    = 0.75
	entryReserve  = 0.1 // Strict mode begins at entryQuota of the quota and entryReserve of the reserve: at 4.7 times the quota's rate, 0.4 s before the bound.
	unknownShare  = 1.5 // An owner leaves this part of its equal share to each live VM that it can't reach, which admits some requests before it notices.
	exitShare     = 0.9 // Strict mode ends under this share of the count at which it begins.
)

// reserve returns what the deployment's bound allows beside the quota.
func reserve(l wqquota.Limit) float64 { return l.Ceiling() - l.Quota() }

// grantedCount returns how many requests an owner may have counted in a window that knows of
// the requests of known VMs, of live ones and of a fleet that also has VMs which may run
// without being reachable.
func grantedCount(l wqquota.Limit, known, live, fleet int) float64 {
	return usableReserve*reserve(l) + l.Quota()*quotaShare(known, live, fleet)
}

// quotaShare returns the part of the quota that an owner may grant, which leaves their equal
// shares to the VMs that it does not know of.
func quotaShare(known, live, fleet int) float64 {
	live = max(live, 1)
	fleet, known = max(fleet, live), min(known, live)
	unknown := float64(fleet - known)
	if 2*unknown <= float64(fleet) { // The smaller part of a fleet leaves the others their equal share.
		unknown += (unknownShare - 1) * float64(live-known)
	}
	return max(0, 1-unknown/float64(fleet))
}

// strictEntry returns the count at which strict mode begins.
func strictEntry(l wqquota.Limit) float64 { return entryQuota*l.Quota() + entryReserve*reserve(l) }
