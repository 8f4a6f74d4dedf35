package wqdocument

import (
	"fmt"

	"wisteriaquay/core/wqhistory"
)

// maxNotes bounds the notes of one update.
const maxNotes = 64

// Update is an update as VMs exchange it.
type Update struct {
	Revision uint64
	Notes    [][]byte // Notes are JSON documents, oldest first.
	Whole    []byte   // Whole is a value as EncodeHistory writes it; empty when the notes reach back.
}

// EncodeUpdate writes an update for a peer.
func EncodeUpdate(u wqhistory.Update) (Update, error) {
	encoded := Update{Revision: u.Revision}
	for _, n := range u.Notes {
		data, err := EncodeNote(n)
		if err != nil {
			return Update{}, err
		}
		encoded.Notes = append(encoded.Notes, data)
	}
	if u.Full == nil {
		return encoded, nil
	}
	whole, err := EncodeHistory(u.Full)
	encoded.Whole = whole
	return encoded, err
}

// DecodeUpdate reads a peer's update.
func DecodeUpdate(encoded Update) (wqhistory.Update, error) {
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
	if len(encoded.Whole) == 0 {
		return u, nil
	}
	whole, err := DecodeHistory(encoded.Whole)
	u.Full = whole
	return u, err
}
