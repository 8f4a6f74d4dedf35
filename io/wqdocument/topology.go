package wqdocument

import (
	"encoding/json"
	"fmt"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"wisteriaquay/core/wqhistory"
	"wisteriaquay/core/wqtopology"
)

// windowBytes is the zstd window: it bounds the memory that a decoder needs besides
// its output.
const windowBytes = 1 << 20

type topologyDocument struct {
	Revision  uint64         `json:"revision"`
	NoteID    string         `json:"note_id"`
	Searchers []searcher     `json:"searchers"`
	Zones     []zoneState    `json:"zones"`
	Rules     []rule         `json:"rules"`
	Layouts   []layout       `json:"layouts"`
	Accepted  []acceptedNote `json:"accepted"`
}

// historyDocument is a topology and the latest release notes that led to it.
type historyDocument struct {
	topologyDocument

	Notes []noteDocument `json:"notes"`
}

type zoneState struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Out    bool   `json:"out,omitempty"`
}

type acceptedNote struct {
	NoteID   string   `json:"note_id"`
	Revision uint64   `json:"revision"`
	Digest   uint64   `json:"digest"`
	Changes  []string `json:"changes"`
	More     int      `json:"more,omitempty"`
}

// EncodeHistory returns a history as a value for the store. One that exceeds
// MaxCompressedBytes or 16 MiB uncompressed is a wqfault.BadInput.
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
	if len(value) > MaxCompressedBytes || len(data) > maxTopologyBytes {
		problem := fmt.Sprintf("would take %d bytes, %d compressed; at most %d and %d fit in the store", len(data), len(value), maxTopologyBytes, MaxCompressedBytes)
		return nil, badInput("the configuration", problem, "withdraw searchers, layouts and rules that are no longer used")
	}
	return value, nil
}

// DecodeHistory decodes a value of EncodeHistory.
func DecodeHistory(value []byte) (*wqhistory.History, error) {
	if len(value) > MaxCompressedBytes {
		return nil, badInput("the configuration", fmt.Sprintf("has %d bytes compressed, over %d", len(value), MaxCompressedBytes), "publish a smaller one")
	}
	data, err := decompress(value)
	if err != nil {
		return nil, err
	}
	document := historyDocument{}
	if err := decode(data, maxTopologyBytes, "the configuration", &document); err != nil {
		return nil, err
	}
	notes := convert(document.Notes, toNote)
	if uint64(len(notes)) > document.Revision {
		return nil, badInput("the configuration", "holds more notes than revisions", "publish it again")
	}
	return &wqhistory.History{Topology: toTopology(&document.topologyDocument), Notes: notes}, nil
}

// EncodeTopology returns a topology without release notes as a value for the
// store.
func EncodeTopology(t *wqtopology.Topology) ([]byte, error) {
	return EncodeHistory(&wqhistory.History{Topology: t})
}

// DecodeTopology decodes the topology in a value of EncodeHistory.
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
		Accepted:  convert(t.Accepted, func(a wqtopology.AcceptedNote) acceptedNote { return acceptedNote(a) }),
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
		Accepted:  convert(d.Accepted, func(a acceptedNote) wqtopology.AcceptedNote { return wqtopology.AcceptedNote(a) }),
	}
}

func compress(data []byte) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, eris.Wrap(err, "create the zstd encoder")
	}
	compressed := encoder.EncodeAll(data, nil)
	return compressed, eris.Wrap(encoder.Close(), "compress")
}

func decompress(compressed []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxTopologyBytes),
		zstd.WithDecoderMaxWindow(windowBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, eris.Wrap(err, "create the zstd decoder")
	}
	defer decoder.Close()
	data, err := decoder.DecodeAll(compressed, nil)
	if err != nil {
		fault := badInput("the configuration", "does not decompress to at most 16 MiB", "check that the store's key holds a configuration")
		return nil, eris.Wrap(fault, err.Error())
	}
	return data, nil
}
