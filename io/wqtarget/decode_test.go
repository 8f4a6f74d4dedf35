package wqtarget

import (
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzReply decodes arbitrary bytes. An accepted reply has one result for each
// query, with the query's ids and snapshot and at most its limit of rows.
func FuzzReply(f *testing.F) {
	f.Add([]byte(`{"incarnation":"a81f","cold":false,"oldest":5,"newest":7,"results":[{"request_id":"q-17","shard":"b03","snapshot":7,"matched":2,"rows":[{"key":"k1","score":0.9,"body":"cm93"}]}]}`))
	f.Add([]byte(`{"incarnation":"a81f","cold":true,"refusal":"shed"}`))
	f.Add([]byte(`{"results":[{"refusal":"snapshot_gone","request_id":"q-17","shard":"b03"}]}`))
	f.Add([]byte(`{"results":[{"rows":[{},{},{}],"matched":4294967295}]}`))
	f.Add([]byte(`[[[[[[`))
	batch := []Query{{RequestID: "q-17", Shard: "b03", Snapshot: 7, Limit: 1}}
	f.Fuzz(func(t *testing.T, raw []byte) {
		reply, err := decodeReply(raw)
		if err != nil || checkReply(&reply, batch) != nil {
			return
		}
		must.SliceLen(t, 1, reply.Results)
		r := reply.Results[0]
		must.EqOp(t, "q-17", r.RequestID)
		must.EqOp(t, "b03", r.Shard)
		if r.Refusal == "" {
			must.EqOp(t, 7, r.Snapshot)
			must.LessEq(t, 1, len(r.Rows))
		}
	})
}
