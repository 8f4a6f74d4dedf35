// Package wqrevision orders the states of a store that may be restored from a copy. After
// a restore the store begins another era, and gives out revisions again that it gave out
// before. Revisions order two states only within one era; a state of a later era is later.
//
// # Usage
//
// VMs keep and exchange ordinals, which can be compared as numbers. Only the calls to the
// store use the era and the number:
//
//	ordinal := wqrevision.Revision{Era: 2, Number: 530}.Ordinal() // 2000000000530
//	number := wqrevision.Of(ordinal).Number
package wqrevision

// eraSize is the distance of two eras in ordinals. It is a power of ten, so that ordinals
// can be read in logs.
const eraSize = 1_000_000_000_000

// MaxEra and MaxNumber bound the revisions that have an ordinal.
const (
	MaxEra    = 10_000_000
	MaxNumber = eraSize - 1
)

// Revision is a revision of a store.
type Revision struct {
	Era    uint64 // Era counts the restores; 0 for a store that names none.
	Number uint64 // Number is the store's own revision; 0 is before the first.
}

// Ordinal returns the number that orders revisions of all eras. Without an era it is the
// store's own revision. What is out of range is bounded.
func (r Revision) Ordinal() uint64 { return min(r.Era, MaxEra)*eraSize + min(r.Number, MaxNumber) }

// Of returns the revision of an ordinal.
func Of(ordinal uint64) Revision { return Revision{Era: ordinal / eraSize, Number: ordinal % eraSize} }
