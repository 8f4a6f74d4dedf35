package wqfakestore_test

import (
	"time"

	"github.com/shoenig/test/wait"

	"wisteriaquay/test/wqfakestore"
)

// waitForWatch waits until the store has received a watch call.
func waitForWatch(s *wqfakestore.Server) *wait.Constraint {
	return wait.InitialSuccess(
		wait.BoolFunc(func() bool { return s.Counts().Watches > 0 }),
		wait.Timeout(5*time.Second),
		wait.Gap(time.Millisecond),
	)
}
