package dogsidecar

import (
	"context"
	"log/slog"
	"time"

	"dogwoodford/core/process/dogbudget"
	"dogwoodford/io/process/doglog"
)

// reloadInterval is the interval at which the settings are read again without a
// signal, because they may change without one.
const reloadInterval = 5 * time.Second

// SettingsSource reads the settings again and signals their changes.
type SettingsSource struct {
	Read   func() (Settings, error)
	Signal <-chan struct{} // Receives a value when the settings have changed.
}

// reload reads the settings again at each signal and every reloadInterval. The
// retry budget and the grace period are applied immediately, other settings at
// the next start.
func (n *node) reload(ctx context.Context) error {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.settingsSource.Signal:
			signalled = true
		case <-tick.C:
		}
		s, err := n.settingsSource.Read()
		if err != nil {
			n.log.event(doglog.SettingsRejected, doglog.Err(err))
			continue
		}
		changed := n.state.apply(s)
		if signalled || changed {
			n.log.event(doglog.SettingsReloaded, slog.Bool("signalled", signalled), slog.Bool("changed", changed))
		}
	}
}

// apply applies the settings that can change while the node runs, and reports
// whether any setting differs from the applied ones.
func (s *state) apply(next Settings) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings == next {
		return false
	}
	s.budget.SetOptions(budgetOptions(next))
	s.settings.RetryRatio, s.settings.RetrySlack, s.settings.RetryWindow = next.RetryRatio, next.RetrySlack, next.RetryWindow
	s.settings.Grace = next.Grace
	return true
}

func (s *state) grace() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings.Grace
}

func budgetOptions(s Settings) dogbudget.Options {
	return dogbudget.Options{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow}
}
