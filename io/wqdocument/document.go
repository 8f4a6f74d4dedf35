// Package wqdocument encodes and decodes release notes as JSON, which operators
// write, and topologies as compressed JSON, which the store holds and the VMs
// exchange.
//
// Decoding is strict, since the input is not trusted: unknown fields are
// rejected, and the size, the depth and the number of objects are checked before
// anything is allocated for them. Invalid input is a wqfault.BadInput.
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

// Limits of the documents.
const (
	MaxNoteBytes       = 4 << 20        // MaxNoteBytes bounds a release note as JSON.
	MaxCompressedBytes = 1<<20 - 64<<10 // MaxCompressedBytes bounds a compressed topology; the store's limit for a value is 1 MiB.
	maxTopologyBytes   = 16 << 20       // maxTopologyBytes bounds a topology as JSON.
	maxDepth           = 8              // maxDepth bounds the nesting of a document.
	maxObjects         = 32768          // maxObjects bounds the JSON objects in a document.
	maxValues          = 1 << 19        // maxValues bounds the JSON values in a document.
)

// decode fills v from a single JSON document of at most maxBytes. Document names
// it in errors.
func decode(data []byte, maxBytes int, document string, v any) error {
	if len(data) > maxBytes {
		return badInput(document, fmt.Sprintf("has %d bytes, over %d", len(data), maxBytes), "split it")
	}
	if err := checkBounds(data, document); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return eris.Wrap(badInput(document, "is not valid: "+err.Error(), "correct it at that position"), "decode")
	}
	if _, err := d.Token(); err != io.EOF { //nolint:errorlint // Token returns io.EOF itself at the end.
		return badInput(document, "has data after its JSON object", "remove everything after the first object")
	}
	return nil
}

// checkBounds checks the depth and the number of objects and values of a JSON text
// without allocating. It does not check the syntax.
func checkBounds(data []byte, document string) error {
	c := sizeCounter{}
	quoted := false
	for i := 0; i < len(data); i++ {
		switch {
		case quoted && data[i] == '\\':
			i++
		case data[i] == '"':
			quoted = !quoted
		case !quoted:
			c.addByte(data[i])
		}
		if c.depth > maxDepth || c.objects > maxObjects || c.values > maxValues {
			return badInput(document, fmt.Sprintf("is nested over %d deep or holds over %d objects or %d values", maxDepth, maxObjects, maxValues), "split it")
		}
	}
	return nil
}

// sizeCounter counts the objects and values that decoding would allocate.
type sizeCounter struct{ depth, objects, values int }

func (c *sizeCounter) addByte(char byte) {
	switch char {
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

func badInput(document, problem, remedy string) error {
	return wqfault.New(wqfault.BadInput, document+" "+problem, remedy)
}

// convert converts each element of a list; an empty list becomes nil.
func convert[A, B any](list []A, toB func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	converted := make([]B, len(list))
	for i := range list {
		converted[i] = toB(list[i])
	}
	return converted
}
