package dogcli

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"dogwoodford/io/process/dogstatus"
)

// writeStatus writes the table of nodes, followed by sections that combine what the
// nodes report. Empty sections are left out.
func writeStatus(w io.Writer, nodes []nodeView) {
	writeNodes(w, nodes)
	answered := slices.DeleteFunc(slices.Clone(nodes), func(n nodeView) bool { return n.Status == nil })
	writeContracts(w, answered)
	writeMembers(w, answered)
	writeRefusals(w, answered)
	writeRangeOwners(w, answered)
	if list := mergeQuarantines(answered); len(list) > 0 {
		fmt.Fprintln(w, "\nrefused content:")
		writeQuarantines(w, list)
	}
	for _, n := range answered {
		if p := n.Status.Platform; !p.Reachable || p.Error != "" {
			fmt.Fprintf(w, "%s: platform: last answer %s; %s\n", n.Status.Node, formatAge(n.Status.Now, p.LastAnswer), p.Error)
		}
		for _, p := range n.Status.Problems {
			fmt.Fprintf(w, "%s: %s\n", n.Status.Node, p)
		}
	}
}

// formatAge returns the time from at to now, or "never" if at is zero.
func formatAge(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Second).String() + " ago"
}

// nodesByText maps a text to the nodes that report it. In writeRangeOwners it maps
// an owner to the numbers of its ranges.
type nodesByText map[string][]string

func (t nodesByText) add(text, node string) { t[text] = append(t[text], node) }

// String lists each text with its nodes, or with their number if there are more
// than maxNames.
func (t nodesByText) String() string {
	const maxNames = 4
	var out []string
	for _, text := range slices.Sorted(maps.Keys(t)) {
		if nodes := t[text]; len(nodes) <= maxNames {
			out = append(out, text+" at "+strings.Join(nodes, " "))
		} else {
			out = append(out, fmt.Sprintf("%s at %d nodes", text, len(nodes)))
		}
	}
	return strings.Join(out, "; ")
}

// writeContracts writes the generations in force at the nodes and their sources.
func writeContracts(w io.Writer, nodes []nodeView) {
	customers := map[string]nodesByText{}
	for _, n := range nodes {
		for _, c := range n.Status.Contracts {
			if customers[c.Customer] == nil {
				customers[c.Customer] = nodesByText{}
			}
		}
	}
	for customer, t := range customers {
		for _, n := range nodes {
			t.add(formatInForce(n.Status, customer), n.Status.Node)
		}
	}
	if len(customers) == 0 {
		return
	}
	fmt.Fprintln(w, "\ncontracts in force:")
	for _, customer := range slices.Sorted(maps.Keys(customers)) {
		fmt.Fprintf(w, "%s: %s\n", customer, customers[customer])
	}
}

func formatInForce(s *dogstatus.Status, customer string) string {
	for _, c := range s.Contracts {
		if c.Customer == customer {
			return fmt.Sprintf("generation %d from %s", c.Generation, orDefault(c.Source, "an unknown source"))
		}
	}
	return "none"
}

// writeMembers writes the members that at least one node does not see as ready, or
// does not know.
func writeMembers(w io.Writer, nodes []nodeView) {
	views := map[string]nodesByText{}
	notReady := map[string]bool{}
	for _, n := range nodes {
		for _, m := range n.Status.Members {
			text := m.State
			if m.Suspected {
				text += ", suspected"
			}
			if views[m.Node] == nil {
				views[m.Node] = nodesByText{}
			}
			views[m.Node].add(text, n.Status.Node)
			notReady[m.Node] = notReady[m.Node] || text != "ready"
		}
	}
	for node, t := range views {
		viewCount := 0
		for _, by := range t {
			viewCount += len(by)
		}
		if viewCount < len(nodes) {
			t.add("unknown", fmt.Sprintf("%d of %d nodes", len(nodes)-viewCount, len(nodes)))
			notReady[node] = true
		}
	}
	title := "\nmembers that are not ready everywhere:\n"
	for _, node := range slices.Sorted(maps.Keys(views)) {
		if notReady[node] {
			fmt.Fprintf(w, "%s%s: %s\n", title, node, views[node])
			title = ""
		}
	}
}

// writeRefusals writes the load of each node that has refused requests or has a
// cutoff, and its refusals since its start, by reason.
func writeRefusals(w io.Writer, nodes []nodeView) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	title := "\nrefused since the start:\nnode\tin flight of limit\tqueued\tcutoff\tat the entry\tat the guard\tearly\t\n"
	for _, n := range nodes {
		c := n.Counters
		if c == nil || len(c.Refusals) == 0 && len(c.GuardRefusals) == 0 && n.Status.Target.Cutoff == 0 {
			continue
		}
		t := n.Status.Target
		fmt.Fprintf(tw, "%s%s\t%d of %d\t%d\t%d\t%s\t%s\t%d\t\n", title, n.Status.Node, t.InFlight, t.Limit, t.Queued,
			t.Cutoff, formatReasons(c.Refusals), formatReasons(c.GuardRefusals), c.EarlyRefusals)
		title = ""
	}
	flush(tw)
}

// formatReasons lists the counts by reason, the highest first, or "-" if there are
// none.
func formatReasons(counts map[string]int64) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		if counts[a] != counts[b] {
			return int(min(max(counts[b]-counts[a], -1), 1))
		}
		return strings.Compare(a, b)
	})
	for i, name := range names {
		names[i] = fmt.Sprintf("%s=%d", name, counts[name])
	}
	return orDefault(strings.Join(names, " "), "-")
}

// writeRangeOwners writes the owners of the key ranges that the nodes report. If
// nodes differ, the highest epoch counts, and within it the latest end.
func writeRangeOwners(w io.Writer, nodes []nodeView) {
	type key struct {
		service string
		number  int
	}
	newest := map[key]dogstatus.Range{}
	for _, n := range nodes {
		for _, r := range n.Status.Ranges {
			k := key{r.Service, r.Number}
			if old := newest[k]; r.Epoch > old.Epoch || r.Epoch == old.Epoch && r.End.After(old.End) {
				newest[k] = r
			}
		}
	}
	owners := map[string]nodesByText{}
	for k, r := range newest {
		if owners[k.service] == nil {
			owners[k.service] = nodesByText{}
		}
		owners[k.service].add(orDefault(r.Owner, "none"), fmt.Sprint(k.number))
	}
	title := "\nowners of key ranges:\n"
	for _, service := range slices.Sorted(maps.Keys(owners)) {
		var parts []string
		for _, owner := range slices.Sorted(maps.Keys(owners[service])) {
			numbers := owners[service][owner]
			slices.Sort(numbers)
			parts = append(parts, owner+" "+strings.Join(numbers, ","))
		}
		fmt.Fprintf(w, "%s%s: %s\n", title, service, strings.Join(parts, "; "))
		title = ""
	}
}
