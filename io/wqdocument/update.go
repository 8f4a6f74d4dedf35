package wqdocument

import (
	"fmt"

	"wisteriaquay/core/wqhistory"
)

// maxNotesPerUpdate bounds the release notes in one update.
const maxNotesPerUpdate = 64

// EncodedUpdate is a wqhistory.Update with encoded parts, as VMs exchange it.
type EncodedUpdate struct {
	Revision uint64   // Revision is the sender's; 0 means that it has no configuration.
	Notes    [][]byte // Notes are release notes as JSON, oldest first.
	Full     []byte   // Full is a value of EncodeHistory; empty when Notes reach back to the receiver's revision.
}

// EncodeUpdate encodes an update for a peer.
func EncodeUpdate(u wqhistory.Update) (EncodedUpdate, error) {
	encoded := EncodedUpdate{Revision: u.Revision}
	for _, n := range u.Notes {
		data, err := EncodeNote(n)
		if err != nil {
			return EncodedUpdate{}, err
		}
		encoded.Notes = append(encoded.Notes, data)
	}
	if u.Full == nil {
		return encoded, nil
	}
	full, err := EncodeHistory(u.Full)
	encoded.Full = full
	return encoded, err
}

// DecodeUpdate decodes a peer's update; its errors are wqfault.BadInput.
func DecodeUpdate(encoded EncodedUpdate) (wqhistory.Update, error) {
	u := wqhistory.Update{Revision: encoded.Revision}
	if len(encoded.Notes) > maxNotesPerUpdate {
		return u, badInput("the update", fmt.Sprintf("has %d notes, over %d", len(encoded.Notes), maxNotesPerUpdate), "fetch from another peer")
	}
	for _, data := range encoded.Notes {
		n, err := DecodeNote(data)
		if err != nil {
			return wqhistory.Update{}, err
		}
		u.Notes = append(u.Notes, n)
	}
	if len(encoded.Full) == 0 {
		return u, nil
	}
	full, err := DecodeHistory(encoded.Full)
	u.Full = full
	return u, err
}
