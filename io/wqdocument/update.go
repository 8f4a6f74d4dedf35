package wqdocument

import (
	"fmt"

	"wisteriaquay/core/wqhistory"
)

// maxNotes bounds the notes of one update.
const maxNotes = 64

// EncodedUpdate is an update as VMs exchange it.
type EncodedUpdate struct {
	Revision uint64
	Notes    [][]byte // Notes are JSON documents, oldest first.
	Full     []byte   // Full is a value as EncodeHistory writes it; empty when the notes reach back.
}

// EncodeUpdate writes an update for a peer.
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
	whole, err := EncodeHistory(u.Full)
	encoded.Full = whole
	return encoded, err
}

// DecodeUpdate reads a peer's update.
func DecodeUpdate(encoded EncodedUpdate) (wqhistory.Update, error) {
	u := wqhistory.Update{Revision: encoded.Revision}
	if len(encoded.Notes) > maxNotes {
		return u, refuse("the update", fmt.Sprintf("has %d notes, over %d", len(encoded.Notes), maxNotes), "ask another peer")
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
	whole, err := DecodeHistory(encoded.Full)
	u.Full = whole
	return u, err
}
