package dogsidecar

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"sync"

	"dogwoodford/core/process/dogcrash"
	"dogwoodford/io/process/doglog"
)

const (
	// maxConcurrentReports is the number of nodes to which a report is sent at the
	// same time.
	maxConcurrentReports = 16
	// maxReportBytes bounds the body of a request with reports. A report has some
	// kilobytes.
	maxReportBytes = 64 << 10
)

// sendReports sends the crash reports of this node to all others, until ctx ends.
func (p *peers) sendReports(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case reports := <-p.state.reports:
			p.sendToAll(ctx, reports)
		}
	}
	return ctx.Err()
}

// sendToAll sends reports to all other nodes, once to each. A node that misses them
// reads them in the store.
func (p *peers) sendToAll(ctx context.Context, reports []dogcrash.Report) {
	data, err := json.Marshal(reports)
	if err != nil {
		p.log.event(doglog.CrashReportFailed, doglog.Err(err))
		return
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentReports)
	for _, v := range p.state.entries() {
		if v.Entry.Node == p.state.settings.Node {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if _, err := p.request(ctx, http.MethodPost, v.Entry.Peer, crashesPath, data); err != nil {
				p.log.event(doglog.CrashReportFailed, slog.String("peer", v.Entry.Node), doglog.Err(err))
			}
		})
	}
	wg.Wait()
}

// receiveReports records the crash reports of another node.
func (p *peers) receiveReports(w http.ResponseWriter, r *http.Request) {
	var reports []dogcrash.Report
	if err := json.NewDecoder(io.LimitReader(r.Body, maxReportBytes)).Decode(&reports); err != nil || len(reports) > maxCrashes {
		p.log.event(doglog.CrashReportFailed, slog.Int("reports", len(reports)), doglog.Err(err))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.state.receiveReports(reports)
}
