package dogsidecar

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/url"
	"time"

	"github.com/thejerf/suture/v4"

	"dogwoodford"
	"dogwoodford/core/process/dogdeparture"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/io/process/doglog"
)

const (
	// minAssurancePause is the first pause between two questions of a started node to
	// others for its departures. The pause doubles up to the interval of messages about
	// departures.
	minAssurancePause = 200 * time.Millisecond
	// assuranceTimeout bounds the wait for the answers of one round.
	assuranceTimeout = 150 * time.Millisecond
	// maxAssuringNodes is the number of nodes that are asked at a time.
	maxAssuringNodes = 3
)

// entriesAsked counts the questions for the entries before the first answer.
func (s *state) entriesAsked() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		s.listAttempts++
	}
}

// unsure reports whether an earlier process of this node may have acknowledged what this one
// doesn't know yet. The caller must hold s.mu.
func (s *state) unsure() bool { return s.listAttempts > 0 && !s.assured }

// needsAssurance reports whether the node does not know its departures and its target is not
// in use yet, also for lack of a second heartbeat.
func (s *state) needsAssurance() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.assured && s.target.State(time.Now()) == dogwoodford.StateStarting
}

// departuresAnswer is what a node knows of the departures of another one's targets.
type departuresAnswer struct {
	UptimeMs   int64                 `json:"uptime_ms"`
	Departures []dogtarget.Departure `json:"departures"`
}

// assure makes this node ask others for its departures, until ctx ends or it needs no
// assurance. If the store answered its first question, one round behind that answer is
// enough: the store holds all departures but the last ones, of which the others have copies.
func (p *peers) assure(ctx context.Context) error {
	pause, listed := minAssurancePause, p.state.firstListed
	for ctx.Err() == nil {
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-listed:
			listed = nil
		}
		t.Stop()
		othersKnown := p.state.startedWithStore()
		p.askDepartures(ctx)
		if othersKnown {
			p.state.endDoubt()
		}
		if !p.state.needsAssurance() {
			return suture.ErrDoNotRestart
		}
		pause = min(2*pause, dogdeparture.Interval(p.state.NodeCount()))
	}
	return ctx.Err()
}

// askDepartures asks some other nodes for the departures of this node's targets.
func (p *peers) askDepartures(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, assuranceTimeout)
	defer cancel()
	nodes := p.state.randomPeers(maxAssuringNodes)
	parallel(len(nodes), func(i int) {
		path := departurePath + "?node=" + url.QueryEscape(p.state.settings.Node)
		data, err := p.request(ctx, http.MethodGet, nodes[i].Node, nodes[i].Peer, path, nil)
		var answer departuresAnswer
		if err == nil {
			err = json.Unmarshal(data, &answer)
		}
		if err != nil {
			p.log.event(doglog.DepartureNotSent, slog.String("peer", nodes[i].Node), doglog.Err(err))
			return
		}
		p.state.recordDepartures(answer)
	})
}

// recordDepartures records what another node knows of the departures of this one's targets.
func (s *state) recordDepartures(a departuresAnswer) {
	for _, d := range a.Departures {
		s.takeDeparture(departureMessage{Node: s.settings.Node, Departure: d})
	}
	uptime := time.Duration(a.UptimeMs) * time.Millisecond
	s.mu.Lock()
	assured := dogdeparture.Assures(uptime, time.Since(s.startedAt), s.fleet.Len())
	s.mu.Unlock()
	if assured {
		s.endDoubt()
	}
}

// startedWithStore reports whether the store answered the first question for the entries.
func (s *state) startedWithStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed && s.listAttempts == 1
}

// endDoubt records that the node knows the departures that it has acknowledged. A heartbeat
// that waits for its confirmation counts then.
func (s *state) endDoubt() {
	s.mu.Lock()
	s.assured = true
	waited := s.target.State(time.Now()) == dogwoodford.StateStarting
	s.target.RequireConfirmation(false)
	s.updateTargetState()
	h, known := s.target.LastHeartbeat()
	start, started := dogwoodford.Start{}, false
	if waited && known {
		start, started = s.startOf(dogtarget.Heartbeat{}, h, false, false)
		start.Alone = s.waitingAlone
	}
	s.mu.Unlock()
	if started {
		s.ramps.start(h.ID, start)
	}
}

// serveDepartures answers askDepartures.
func (p *peers) serveDepartures(w http.ResponseWriter, r *http.Request) {
	if err := json.NewEncoder(w).Encode(p.state.knownDepartures(r.URL.Query().Get("node"))); err != nil {
		p.log.event(doglog.DepartureNotSent, doglog.Err(err))
	}
}

// knownDepartures returns what this node knows of the departures of another one's targets.
func (s *state) knownDepartures(node string) departuresAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	known := s.departures.CopiesOf(now, node)
	if e, _, ok := s.fleet.Entry(node); ok && e.Departed.ID != "" {
		known = append(known, e.Departed)
	}
	return departuresAnswer{UptimeMs: now.Sub(s.startedAt).Milliseconds(), Departures: known}
}
