package wqnote_test

import (
	"fmt"

	"wisteriaquay/core/wqnote"
	"wisteriaquay/core/wqtopology"
)

func ExampleApply() {
	t := &wqtopology.Topology{Revision: 1, Zones: []wqtopology.Zone{{ID: "a", Region: "r"}}}
	next, err := wqnote.Apply(wqnote.ZoneOut("maria-17", "a"), t)
	fmt.Println(next.Revision, next.Zones[0].Out, err)
	_, err = wqnote.Apply(&wqnote.Note{ID: "joost-3", BaseRevision: 1, Back: []string{"a"}}, next)
	fmt.Println(err)
	// Output:
	// 2 true <nil>
	// conflict: the note is based on revision 1, but the newest is 2; since then note maria-17 (revision 2) made: zone a out; look at those changes, adapt the note and set base_revision to 2
}
