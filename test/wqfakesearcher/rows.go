package wqfakesearcher

import (
	"fmt"
	"hash/fnv"
	"sort"

	"wisteriaquay/io/wqtarget"
)

// maxMatches is the largest number of rows of one shard that match a query.
const maxMatches = 6

// MatchingRows returns the rows of a shard that match a query at a snapshot, by
// descending score. They depend on the arguments alone, so that a checker can
// compute the expected answer.
func MatchingRows(service, shard string, snapshot uint64, body []byte) []wqtarget.Row {
	seed := hash(service, shard, snapshot, body)
	rows := make([]wqtarget.Row, 1+seed%maxMatches)
	for i := range rows {
		h := hash(service, shard, seed+uint64(i), nil)
		rows[i] = wqtarget.Row{
			Key:   fmt.Sprintf("%s-%08x", shard, uint32(h)),
			Score: float64(h>>40) / float64(1<<24),
			Body:  fmt.Appendf(nil, "%s/%s@%d", service, shard, snapshot),
		}
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Score != rows[j].Score {
			return rows[i].Score > rows[j].Score
		}
		return rows[i].Key < rows[j].Key
	})
	return rows
}

func hash(service, shard string, number uint64, body []byte) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00%d\x00", service, shard, number)
	_, _ = h.Write(body)
	return h.Sum64()
}
