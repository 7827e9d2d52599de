package dogrelay

import (
	"context"
	"net/http"
	"time"

	"dogwoodford"
	"dogwoodford/core/version/dogtable"
)

// staleKeysRetryAfter is the retry hint of a node that does not know whether its keys are
// still valid. Another node may know, and this one asks the others in this time.
const staleKeysRetryAfter = 500 * time.Millisecond

// identify returns the workspace of a request by its key, or a refusal. The workspace is
// nil if the request needs no key: the configuration has no workspaces, the route is
// public, or the request is a child call, which belongs to the workspace of its parent.
func (h *Handlers) identify(table *dogtable.Table, route *dogtable.Route, r *http.Request, parent *run) (*dogtable.Workspace, *result) {
	if parent != nil || route.Public() || !table.HasWorkspaces() {
		return nil, nil
	}
	if h.cfg.Keys != nil && !h.cfg.Keys.Trusted(table.Version()) {
		return nil, refused(dogwoodford.ReasonStaleKeys, staleKeysRetryAfter)
	}
	keys := r.Header[h.cfg.Headers.Key]
	if len(keys) != 1 {
		return nil, refused(dogwoodford.ReasonCredential, 0)
	}
	w, ok := table.Workspace(keys[0])
	if !ok {
		return nil, refused(dogwoodford.ReasonCredential, 0)
	}
	return w, nil
}

// rank gives a request of a caller of w, which may be nil, its rank among those of other
// workspaces. Calls below it inherit the rank.
func (h *Handlers) rank(c *call, w *dogtable.Workspace) {
	if w != nil && h.cfg.Shares != nil {
		c.lineage.fairRank = 1 + h.cfg.Shares.Rank(w.Name(), c.importance(), dogwoodford.RootFraction(c.lineage.root))
	}
}

// takeQuota takes a token of w for one request, and returns a refusal if there is none. w
// may be nil.
func (h *Handlers) takeQuota(ctx context.Context, w *dogtable.Workspace) *result {
	if !h.hasQuota(w) {
		return nil
	}
	if retryAfter, ok := h.cfg.Quotas.Take(ctx, w); !ok {
		return refused(dogwoodford.ReasonQuota, retryAfter)
	}
	return nil
}

// settleQuota gives the token of a request that has not run back to w, which may be nil.
func (h *Handlers) settleQuota(w *dogtable.Workspace, res *result) {
	if h.hasQuota(w) && res.outcome == dogwoodford.OutcomeNotRun {
		h.cfg.Quotas.Return(w)
	}
}

func (h *Handlers) hasQuota(w *dogtable.Workspace) bool {
	return w != nil && w.Limited() && h.cfg.Quotas != nil
}

// formatWorkspace replaces what the caller sent of workspaces by the name of its own one.
func (h *Handlers) formatWorkspace(out http.Header, c *call) {
	if !c.hidesKeys {
		return
	}
	delete(out, h.cfg.Headers.Key)
	delete(out, h.cfg.Headers.Workspace)
	if c.lineage.workspace != "" {
		out[h.cfg.Headers.Workspace] = []string{c.lineage.workspace}
	}
}

// hasWorkspaces reports whether the configuration in force has workspaces.
func (h *Handlers) hasWorkspaces() bool {
	t := h.cfg.Tables.Table()
	return t != nil && t.HasWorkspaces()
}
