package dogsidecar

import (
	"context"
	"log/slog"
	"net/http"

	"dogwoodford/core/process/dogcrash"
	"dogwoodford/io/process/doglog"
)

// sendReports sends the crash reports of this node to all others, until ctx ends.
func (p *peers) sendReports(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case reports := <-p.state.reports:
			p.broadcast(ctx, crashesPath, reports, doglog.CrashReportFailed, nil)
		}
	}
	return ctx.Err()
}

// receiveReports records the crash reports of another node.
func (p *peers) receiveReports(w http.ResponseWriter, r *http.Request) {
	var reports []dogcrash.Report
	if err := decodeMessage(r, &reports); err != nil || len(reports) > maxCrashes {
		p.log.event(doglog.CrashReportFailed, slog.Int("reports", len(reports)), doglog.Err(err))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.state.receiveReports(reports)
}
