package wqcall

import "wisteriaquay/core/wqtenant"

// KeyUse records which key identified a caller, so that a request that waits can be
// checked again under a later configuration. It does not hold the key.
type KeyUse struct {
	Digest  wqtenant.Digest
	Version uint64 // configuration under which the key was accepted; 0 for none
}

// Withdrawn reports whether a key that was accepted is unknown to a later configuration,
// with this version and these client accounts.
func (k KeyUse) Withdrawn(version uint64, tenants *wqtenant.Registry) bool {
	return k.Version != 0 && version > k.Version && tenants.Len() > 0 && !tenants.Has(k.Digest)
}
