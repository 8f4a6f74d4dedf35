package wqhost

import (
	"context"
	"os"
	"slices"
	"time"

	"wisteriaquay/platform/wqboot"
)

// filePollInterval is the time between two checks whether the settings file was
// written, as it may change without a signal.
const filePollInterval = 5 * time.Second

// reload reads the settings file again after each signal and each change of the
// file, until ctx ends. Only the seed addresses take effect while a VM runs; other
// settings need a restart.
func (h *Host) reload(ctx context.Context) {
	t := time.NewTicker(filePollInterval)
	defer t.Stop()
	lastModTime := modTime(h.SettingsPath)
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-h.ReloadSignals:
		case <-t.C:
			cause = "change"
			if newModTime := modTime(h.SettingsPath); newModTime.Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(h.SettingsPath)
		h.reloadSettings(ctx, cause)
	}
}

func (h *Host) reloadSettings(ctx context.Context, cause string) {
	s, err := wqboot.Read(h.SettingsPath)
	if err != nil {
		h.Log.Warn("settings not reloaded; keeping the ones in force", "cause", cause, "error", err.Error())
		return
	}
	h.Log.Info("settings reloaded", "cause", cause, "seeds", s.Seeds, "seeds_changed", !slices.Equal(s.Seeds, h.Settings.Seeds))
	h.controller.SetSeeds(ctx, s.Seeds)
}

// modTime returns the modification time of a file, the zero time on an error.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{} // The next read of the file returns the error.
	}
	return info.ModTime()
}
