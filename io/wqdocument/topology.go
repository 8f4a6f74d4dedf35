package wqdocument

import (
	"encoding/json"
	"fmt"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqhistory"
	"wisteriaquay/core/wqtopology"
)

// window is the most memory that one compressed topology makes a decoder keep
// besides its output, in bytes.
const window = 1 << 20

type topologyDocument struct {
	Revision  uint64      `json:"revision"`
	NoteID    string      `json:"note_id"`
	Searchers []searcher  `json:"searchers"`
	Zones     []zoneState `json:"zones"`
	Rules     []rule      `json:"rules"`
	Layouts   []layout    `json:"layouts"`
	Accepted  []accepted  `json:"accepted"`
}

// historyDocument is a topology and the notes that led to it.
type historyDocument struct {
	topologyDocument

	Notes []noteDocument `json:"notes"`
}

type zoneState struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Out    bool   `json:"out,omitempty"`
}

type accepted struct {
	NoteID   string   `json:"note_id"`
	Revision uint64   `json:"revision"`
	Digest   uint64   `json:"digest"`
	Changes  []string `json:"changes"`
	More     int      `json:"more,omitempty"`
}

// EncodeHistory writes a history as a value for the store. One of more than
// MaxCompressed bytes is refused.
func EncodeHistory(h *wqhistory.History) ([]byte, error) {
	data, err := json.Marshal(historyDocument{
		topologyDocument: fromTopology(h.Topology),
		Notes:            convert(h.Notes, fromNote),
	})
	if err != nil {
		return nil, eris.Wrap(err, "encode the configuration")
	}
	value, err := compress(data)
	if err != nil {
		return nil, err
	}
	if len(value) > MaxCompressedBytes || len(data) > maxTopology {
		fault := fmt.Sprintf("would take %d bytes, %d compressed; at most %d and %d fit in the store", len(data), len(value), maxTopology, MaxCompressedBytes)
		return nil, refuse("the configuration", fault, "withdraw searchers, layouts and rules that are no longer used")
	}
	return value, nil
}

// DecodeHistory reads a value that EncodeHistory wrote.
func DecodeHistory(value []byte) (*wqhistory.History, error) {
	if len(value) > MaxCompressedBytes {
		return nil, refuse("the configuration", fmt.Sprintf("has %d bytes compressed, over %d", len(value), MaxCompressedBytes), "publish a smaller one")
	}
	data, err := decompress(value)
	if err != nil {
		return nil, err
	}
	d := historyDocument{}
	if err := decode(data, maxTopology, "the configuration", &d); err != nil {
		return nil, err
	}
	notes := convert(d.Notes, toNote)
	if uint64(len(notes)) > d.Revision {
		return nil, refuse("the configuration", "holds more notes than revisions", "publish it again")
	}
	return &wqhistory.History{Topology: toTopology(&d.topologyDocument), Notes: notes}, nil
}

// EncodeTopology writes a topology without notes as a value for the store.
func EncodeTopology(t *wqtopology.Topology) ([]byte, error) {
	return EncodeHistory(&wqhistory.History{Topology: t})
}

// DecodeTopology reads the topology alone from a value that EncodeHistory wrote.
func DecodeTopology(value []byte) (*wqtopology.Topology, error) {
	h, err := DecodeHistory(value)
	if err != nil {
		return nil, err
	}
	return h.Topology, nil
}

func fromTopology(t *wqtopology.Topology) topologyDocument {
	return topologyDocument{
		Revision:  t.Revision,
		NoteID:    t.NoteID,
		Searchers: convert(t.Searchers, fromSearcher),
		Zones:     convert(t.Zones, func(z wqtopology.Zone) zoneState { return zoneState(z) }),
		Rules:     convert(t.Rules, fromRule),
		Layouts:   convert(t.Layouts, fromLayout),
		Accepted:  convert(t.Accepted, func(a wqtopology.AcceptedNote) accepted { return accepted(a) }),
	}
}

func toTopology(d *topologyDocument) *wqtopology.Topology {
	return &wqtopology.Topology{
		Revision:  d.Revision,
		NoteID:    d.NoteID,
		Searchers: convert(d.Searchers, toSearcher),
		Zones:     convert(d.Zones, func(z zoneState) wqtopology.Zone { return wqtopology.Zone(z) }),
		Rules:     convert(d.Rules, toRule),
		Layouts:   convert(d.Layouts, toLayout),
		Accepted:  convert(d.Accepted, func(a accepted) wqtopology.AcceptedNote { return wqtopology.AcceptedNote(a) }),
	}
}

func compress(data []byte) ([]byte, error) {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, eris.Wrap(err, "make the compressor")
	}
	value := e.EncodeAll(data, nil)
	return value, eris.Wrap(e.Close(), "compress")
}

func decompress(value []byte) ([]byte, error) {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxTopology),
		zstd.WithDecoderMaxWindow(window), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, eris.Wrap(err, "make the decompressor")
	}
	defer d.Close()
	data, err := d.DecodeAll(value, nil)
	if err != nil {
		fault := refuse("the configuration", "does not decompress to at most 16 MiB", "check that the store's key holds a configuration")
		return nil, eris.Wrap(fault, err.Error())
	}
	return data, nil
}
