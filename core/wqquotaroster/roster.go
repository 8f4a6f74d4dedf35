// Package wqquotaroster chooses the owners of a client account, which count its requests,
// from the live VMs of a fleet. All VMs with the same list choose the same owners.
//
// # Usage
//
//	r := wqquotaroster.New(vms, fleetSize)
//	for _, owner := range r.Owners(tenant) { ... }
package wqquotaroster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownersPerAccount is the number of owners that count each account. The others take
	// over with a complete count when the first one fails; with two of them, a third of a
	// fleet that is cut off has both of an account in one of nine cases.
	ownersPerAccount = 3
	// vmsPerOwner is the number of VMs for each one that may be an owner. Owners hold a
	// connection to every VM, so that not every VM can be one in a large fleet.
	vmsPerOwner = 8
	minOwners   = 3
)

// VM is a live VM of the fleet.
type VM struct {
	ID       string
	Address  string
	Zone     string
	Epoch    uint64 // Epoch is the start time of its process.
	Capacity int
}

// Roster is the list of the live VMs as one VM sees it. It is immutable.
type Roster struct {
	VMs       []VM
	FleetSize int // FleetSize also counts the VMs that may run without being reachable.

	epochs map[string]uint64 // epochs holds the start of the process of each VM.
	owners []VM              // owners are the VMs that may own accounts.
	seeds  []uint64          // seeds are the hashes of their ids.
}

// New returns the roster of these VMs. VMs with under half of the largest capacity
// are owners only if there are too few others.
func New(vms []VM, fleetSize int) *Roster {
	ranked := slices.Clone(vms)
	largest := 0
	for _, v := range vms {
		largest = max(largest, v.Capacity)
	}
	slices.SortFunc(ranked, func(a, b VM) int {
		if small := 2*a.Capacity < largest; small != (2*b.Capacity < largest) {
			return map[bool]int{false: -1, true: 1}[small]
		}
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	n := min(len(vms), max(minOwners, (len(vms)+vmsPerOwner-1)/vmsPerOwner))
	r := &Roster{epochs: make(map[string]uint64, len(vms)), VMs: vms, FleetSize: max(fleetSize, len(vms), 1), owners: ranked[:n]}
	for _, v := range vms {
		r.epochs[v.ID] = v.Epoch
	}
	for _, v := range r.owners {
		r.seeds = append(r.seeds, xxhash.Sum64String(v.ID))
	}
	return r
}

// Has reports whether a VM is in the list.
func (r *Roster) Has(id string) bool {
	_, ok := r.epochs[id]
	return ok
}

// Epoch returns the start time of a VM's process, 0 if the VM is not in the list.
func (r *Roster) Epoch(id string) uint64 { return r.epochs[id] }

// Owners returns the owners of an account, the one to ask first at the front. They are in
// different availability zones as far as there are enough of them.
func (r *Roster) Owners(tenant string) []VM {
	type ranked struct {
		vm    int
		score uint64
	}
	var best [ownersPerAccount]ranked
	n := 0
	sameZone := func(a, b int) bool { return r.owners[a].Zone == r.owners[b].Zone }
	for i := range r.owners {
		candidate := ranked{i, r.score(i, tenant)}
		at := n
		for at > 0 && candidate.score > best[at-1].score {
			at--
		}
		// Of each zone, only the highest score stays among the best.
		zone := 0
		for zone < n && !sameZone(best[zone].vm, i) {
			zone++
		}
		if at == ownersPerAccount || zone < at {
			continue
		}
		if zone == n {
			n = min(n+1, ownersPerAccount)
			zone = n - 1
		}
		copy(best[at+1:zone+1], best[at:zone])
		best[at] = candidate
	}
	owners := make([]VM, 0, ownersPerAccount)
	for _, b := range best[:n] {
		owners = append(owners, r.owners[b.vm])
	}
	return r.fillOwners(owners, tenant)
}

// fillOwners appends owners of any zone if there are fewer zones than owners.
func (r *Roster) fillOwners(owners []VM, tenant string) []VM {
	for len(owners) < min(ownersPerAccount, len(r.owners)) {
		next, nextScore := -1, uint64(0)
		for i, v := range r.owners {
			if score := r.score(i, tenant); !slices.ContainsFunc(owners, func(o VM) bool { return o.ID == v.ID }) && (next < 0 || score > nextScore) {
				next, nextScore = i, score
			}
		}
		owners = append(owners, r.owners[next])
	}
	return owners
}

// score ranks a VM for an account.
func (r *Roster) score(i int, tenant string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(r.seeds[i])
	_, _ = d.WriteString(tenant)
	return d.Sum64()
}

// Owns reports whether a VM is an owner of an account.
func (r *Roster) Owns(id, tenant string) bool {
	return slices.ContainsFunc(r.Owners(tenant), func(v VM) bool { return v.ID == id })
}
