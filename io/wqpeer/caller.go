package wqpeer

import "wisteriaquay/core/wqcall"

// caller is the JSON form of what a hub needs to know of the caller. It does not hold the
// key of an identified caller, only its digest.
type caller struct {
	Identified    bool     `json:"identified,omitempty"`
	Tenant        string   `json:"tenant,omitempty"`
	KeyDigest     []byte   `json:"key_digest,omitempty"`
	KeyVersion    uint64   `json:"key_version,omitempty"` // KeyVersion is the configuration under which the key was accepted.
	Priority      int      `json:"priority,omitempty"`
	Authorization []string `json:"authorization,omitempty"` // Authorization is passed on if the configuration has no client accounts.
}

func encodeCaller(c *wqcall.Call) caller {
	if !c.Identified {
		return caller{Authorization: c.Authorization, Priority: c.Priority}
	}
	encoded := caller{Identified: true, Tenant: c.Tenant, KeyVersion: c.Key.Version, Priority: c.Priority}
	if c.Key.Version != 0 {
		encoded.KeyDigest = c.Key.Digest[:]
	}
	return encoded
}

func (e *caller) decodeInto(c *wqcall.Call) {
	c.Identified, c.Tenant, c.Priority = e.Identified, e.Tenant, e.Priority
	c.Key = wqcall.KeyUse{Version: e.KeyVersion}
	copy(c.Key.Digest[:], e.KeyDigest)
	if !e.Identified {
		c.Authorization = e.Authorization
	}
}
