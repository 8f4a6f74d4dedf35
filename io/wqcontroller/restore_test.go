package wqcontroller_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"wisteriaquay/core/wqmirror"
	"wisteriaquay/core/wqrevision"
	"wisteriaquay/core/wqrollout"
)

func ordinal(era, number uint64) uint64 {
	return wqrevision.Revision{Era: era, Number: number}.Ordinal()
}

// Guards against a version that is judged anew, or used again, since the store has lost
// its verdict, on a VM that knows the verdict from the store only.
func TestOutcomeThatARestoreLosesIsWrittenAgain(t *testing.T) {
	for _, outcome := range []wqrollout.Phase{wqrollout.Completed, wqrollout.RolledBack} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			store := &statusStore{}
			v := newRolloutVM(ctx, "a", store)
			order := wqmirror.Item{Key: "order", Value: []byte("20s"), Revision: ordinal(1, 5)}
			status := wqmirror.Item{Key: "status", Value: []byte{byte(outcome)}, Revision: ordinal(1, 9)}
			v.Deliver(ctx, wqmirror.Batch{Full: true, Items: []wqmirror.Item{order, status}, StoreRevision: ordinal(1, 9)})
			time.Sleep(time.Minute)
			must.SliceEmpty(t, store.written())

			order.Revision = ordinal(2, 5)
			v.Deliver(ctx, wqmirror.Batch{Full: true, Items: []wqmirror.Item{order}, StoreRevision: ordinal(2, 7)})
			must.Eq(t, outcome, v.Plan().Rollouts["s"].Phase)
			time.Sleep(10 * time.Second)
			must.Eq(t, []wqrollout.Phase{outcome}, store.written())
			must.Eq(t, outcome, v.Plan().Rollouts["s"].Phase)
		})
	}
}

// Guards against a rollout that begins anew since its order was written again.
func TestOrderThatIsWrittenAgainKeepsItsRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		v := newRolloutVM(ctx, "a", &statusStore{})
		order := wqmirror.Item{Key: "order", Value: []byte("20s"), Revision: ordinal(1, 5)}
		status := wqmirror.Item{Key: "status", Value: []byte{byte(wqrollout.RolledBack)}, Revision: ordinal(1, 9)}
		v.Deliver(ctx, wqmirror.Batch{Full: true, Items: []wqmirror.Item{order, status}, StoreRevision: ordinal(1, 9)})
		v.Deliver(ctx, wqmirror.Batch{Full: true, StoreRevision: ordinal(2, 3)})
		order.Revision = ordinal(2, 4)
		v.Deliver(ctx, wqmirror.Batch{Items: []wqmirror.Item{order}, StoreRevision: ordinal(2, 4), Written: true})
		must.Eq(t, wqrollout.RolledBack, v.Plan().Rollouts["s"].Phase)
	})
}
