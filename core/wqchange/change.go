// Package wqchange holds a change of the platform's store in decoded form.
//
// # Usage
//
//	for _, item := range changed {
//		switch c := decode(item); c.Kind {
//		case wqchange.Configuration: ...
//		}
//	}
package wqchange

import (
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqrollout"
	"wisteriaquay/core/wqroute"
)

// Kind is the type of a Change.
type Kind uint8

// The kinds of change.
const (
	Ignored             Kind = iota // Ignored means that the item does not concern this program.
	Configuration                   // Configuration means that a new configuration was published; Table holds it.
	ZoneOut                         // ZoneOut means that Zone was taken out.
	ZoneBack                        // ZoneBack means that Zone was brought back.
	Registered                      // Registered means that a searcher was registered or its registration changed; Registration holds it.
	Unregistered                    // Unregistered means that the registration of SearcherID has ended.
	InvalidRegistration             // InvalidRegistration means that the registration of SearcherID is malformed or incomplete.
	RolloutOrdered                  // RolloutOrdered means that an operator ordered a rollout; Order holds it.
	RolloutWithdrawn                // RolloutWithdrawn means that the order for Service was removed, or can't be read.
	RolloutStatus                   // RolloutStatus means that the status of a rollout was written or removed; Status holds it.
	InvalidItem                     // InvalidItem means that an item other than a registration is malformed.
)

// Change is one decoded change. Fields that do not belong to its Kind are
// zero.
type Change struct {
	Kind         Kind
	Table        *wqroute.Table
	Zone         string
	Registration wqdirectory.Registration
	SearcherID   string
	Order        wqrollout.Order
	Status       wqrollout.Status
	Service      string
	Problem      string // what is wrong with an InvalidRegistration, InvalidItem or order
}
