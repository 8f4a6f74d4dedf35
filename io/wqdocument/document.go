// Package wqdocument encodes release notes and topologies as documents: release
// notes as JSON that operators write, topologies as compressed JSON that the
// store and the VMs hold.
//
// Decoding is strict, since the input may be anybody's: unknown fields are
// refused, and the size, the depth and the number of objects are bounded before
// anything is allocated for them. All faults are wqfault.BadInput.
//
// # Usage
//
//	n, err := wqdocument.DecodeNote(data)
//	value, err := wqdocument.EncodeTopology(t)
//	t, err := wqdocument.DecodeTopology(value)
//
// Names in the documents are snake case; docs/PROTOCOLS.md shows a release note.
package wqdocument

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqfault"
)

// Bounds of the documents.
const (
	MaxNoteBytes       = 4 << 20        // MaxNoteBytes is the largest release note, in bytes.
	MaxCompressedBytes = 1<<20 - 64<<10 // MaxCompressedBytes is the largest compressed topology, in bytes; the store holds 1 MiB.
	maxTopology        = 16 << 20       // maxTopology is the largest topology as JSON, in bytes.
	maxDepth           = 8              // maxDepth is the deepest nesting of a document.
	maxObjects         = 32768          // maxObjects is the most objects of a document.
	maxValues          = 1 << 19        // maxValues is the most values of a document.
)

// decode fills v from one JSON document of at most limit bytes.
func decode(data []byte, limit int, what string, v any) error {
	if len(data) > limit {
		return refuse(what, fmt.Sprintf("has %d bytes, over %d", len(data), limit), "split it")
	}
	if err := scan(data, what); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return eris.Wrap(refuse(what, "is not valid: "+err.Error(), "correct it at that place"), "decode")
	}
	if _, err := d.Token(); err != io.EOF { //nolint:errorlint // Token returns io.EOF itself at the end.
		return refuse(what, "goes on after its end", "keep one JSON object only")
	}
	return nil
}

// scan bounds the depth and the counts of a JSON text without allocating. It
// does not check the syntax.
func scan(data []byte, what string) error {
	c := counter{}
	quoted := false
	for i := 0; i < len(data); i++ {
		switch {
		case quoted && data[i] == '\\':
			i++
		case data[i] == '"':
			quoted = !quoted
		case !quoted:
			c.count(data[i])
		}
		if c.depth > maxDepth || c.objects > maxObjects || c.values > maxValues {
			return refuse(what, fmt.Sprintf("is nested over %d deep or holds over %d objects or %d values", maxDepth, maxObjects, maxValues), "split it")
		}
	}
	return nil
}

// counter counts what a JSON text would allocate.
type counter struct{ depth, objects, values int }

func (c *counter) count(b byte) {
	switch b {
	case '{':
		c.depth++
		c.objects++
		c.values++
	case '[':
		c.depth++
		c.values++
	case '}', ']':
		c.depth--
	case ',':
		c.values++
	}
}

func refuse(what, fault, remedy string) error {
	return wqfault.New(wqfault.BadInput, what+" "+fault, remedy)
}

// convert maps a list to the type that its document or its package uses.
func convert[A, B any](list []A, to func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	converted := make([]B, len(list))
	for i := range list {
		converted[i] = to(list[i])
	}
	return converted
}
