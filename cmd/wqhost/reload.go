package wqhost

import (
	"context"
	"os"
	"slices"
	"time"

	"wisteriaquay/platform/wqboot"
)

// lookPeriod is the time between two looks at the settings file, which may change
// without a signal.
const lookPeriod = 5 * time.Second

// reload reads the settings file again after a signal or a change, until ctx
// ends. What can change while a VM runs is where other VMs may be; the rest needs
// a start.
func (h *Host) reload(ctx context.Context) {
	t := time.NewTicker(lookPeriod)
	defer t.Stop()
	seen := modified(h.SettingsPath)
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-h.ReloadSignals:
		case <-t.C:
			cause = "change"
			if at := modified(h.SettingsPath); at.Equal(seen) {
				continue
			}
		}
		seen = modified(h.SettingsPath)
		h.reread(ctx, cause)
	}
}

func (h *Host) reread(ctx context.Context, cause string) {
	s, err := wqboot.Read(h.SettingsPath)
	if err != nil {
		h.Log.Warn("settings not reloaded; the ones in force stay", "cause", cause, "error", err.Error())
		return
	}
	h.Log.Info("settings reloaded", "cause", cause, "seeds", s.Seeds, "seeds_changed", !slices.Equal(s.Seeds, h.Settings.Seeds))
	h.keeper.SetSeeds(ctx, s.Seeds)
}

// modified returns when a file was last written, zero when that is unknown.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{} // The next reading names the fault.
	}
	return info.ModTime()
}
