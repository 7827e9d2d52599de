package dogsidecar

import (
	"sync"
	"time"

	"dogwoodford/core/process/dogshare"
	"dogwoodford/core/version/dogtable"
)

// shares implements the interface Shares of dogrelay. It is safe for concurrent use.
type shares struct {
	mu     sync.Mutex
	shares *dogshare.Shares
}

func newShares() *shares { return &shares{shares: dogshare.New()} }

// Rank implements dogrelay.Shares.
func (s *shares) Rank(workspace string, importance int, fraction float64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shares.Rank(time.Now(), workspace, importance, fraction)
}

// setWorkspaces takes the weights of workspaces from a configuration.
func (s *shares) setWorkspaces(t *dogtable.Table) {
	var weights []dogshare.Weight
	for w := range t.Workspaces() {
		weights = append(weights, dogshare.Weight{Name: w.Name(), Weight: w.Rate()})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.SetWeights(weights)
}
