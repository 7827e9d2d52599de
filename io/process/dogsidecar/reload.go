package dogsidecar

import (
	"context"
	"log/slog"
	"time"

	"dogwoodford/core/process/dogbudget"
	"dogwoodford/io/process/doglog"
)

// reloadEvery is the interval at which the settings are read without a signal,
// as they may change without one.
const reloadEvery = 5 * time.Second

// Reload says how the settings are read again.
type Reload struct {
	Read   func() (Settings, error)
	Signal <-chan struct{} // Gets a value when the settings have changed.
}

// reload reads the settings again at each signal and from time to time. The
// retry budget and the grace follow at once; the rest holds from the next start.
func (n *node) reload(ctx context.Context) error {
	tick := time.NewTicker(reloadEvery)
	defer tick.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.again.Signal:
			signalled = true
		case <-tick.C:
		}
		s, err := n.again.Read()
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

// apply takes the settings that can change while the node runs, and reports
// whether any setting has changed.
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
