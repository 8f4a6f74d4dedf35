// Package wqchange holds what one item of the platform's store means to this
// product, once it is decoded.
//
// # Usage
//
//	for _, item := range news {
//		switch c := decode(item); c.Kind {
//		case wqchange.Configuration: ...
//		}
//	}
package wqchange

import (
	"wisteriaquay/core/wqdirectory"
	"wisteriaquay/core/wqroute"
)

// Kind says what a Change is about.
type Kind uint8

// The kinds of change.
const (
	Ignored             Kind = iota // Ignored is of no interest.
	Configuration                   // Configuration carries a Table.
	ZoneOut                         // ZoneOut takes Zone out.
	ZoneBack                        // ZoneBack brings Zone back.
	Registered                      // Registered carries a Record.
	Unregistered                    // Unregistered ends the registration of SearcherID.
	InvalidRegistration             // InvalidRegistration means that the registration of SearcherID names no usable searcher.
	InvalidItem                     // InvalidItem means that an item other than a registration can't be read.
)

// Change is one decoded item.
type Change struct {
	Kind       Kind
	Table      *wqroute.Table
	Zone       string
	Record     wqdirectory.Registration
	SearcherID string
	Problem    string // Problem says what is wrong with a spoiled or unreadable item.
}
