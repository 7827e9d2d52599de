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

// writeStatus writes the table of nodes, and below it what the nodes together
// tell: sections without content are left out.
func writeStatus(w io.Writer, nodes []nodeView) {
	writeNodes(w, nodes)
	answered := slices.DeleteFunc(slices.Clone(nodes), func(n nodeView) bool { return n.Status == nil })
	writeContracts(w, answered)
	writeMembers(w, answered)
	writeShed(w, answered)
	writeOwners(w, answered)
	if list := quarantines(answered); len(list) > 0 {
		fmt.Fprintln(w, "\nrefused content:")
		writeQuarantines(w, list)
	}
	for _, n := range answered {
		if p := n.Status.Platform; !p.Reachable || p.Error != "" {
			fmt.Fprintf(w, "%s: platform: last answer %s; %s\n", n.Status.Node, since(n.Status.Now, p.LastAnswer), p.Error)
		}
		for _, p := range n.Status.Problems {
			fmt.Fprintf(w, "%s: %s\n", n.Status.Node, p)
		}
	}
}

func since(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Second).String() + " ago"
}

// tally counts nodes by a text and prints each text with its nodes.
type tally map[string][]string

func (t tally) add(text, node string) { t[text] = append(t[text], node) }

// String names the nodes of each text, or their number if they are many.
func (t tally) String() string {
	const most = 4
	var out []string
	for _, text := range slices.Sorted(maps.Keys(t)) {
		if nodes := t[text]; len(nodes) <= most {
			out = append(out, text+" at "+strings.Join(nodes, " "))
		} else {
			out = append(out, fmt.Sprintf("%s at %d nodes", text, len(nodes)))
		}
	}
	return strings.Join(out, "; ")
}

// writeContracts shows which generations are in force, and where they came
// from.
func writeContracts(w io.Writer, nodes []nodeView) {
	customers := map[string]tally{}
	for _, n := range nodes {
		for _, c := range n.Status.Contracts {
			if customers[c.Customer] == nil {
				customers[c.Customer] = tally{}
			}
		}
	}
	for customer, t := range customers {
		for _, n := range nodes {
			t.add(inForceText(n.Status, customer), n.Status.Node)
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

func inForceText(s *dogstatus.Status, customer string) string {
	for _, c := range s.Contracts {
		if c.Customer == customer {
			return fmt.Sprintf("generation %d from %s", c.Generation, nameOr(c.Source, "an unknown source"))
		}
	}
	return "none"
}

// writeMembers shows the members that some node does not see as ready.
func writeMembers(w io.Writer, nodes []nodeView) {
	views := map[string]tally{}
	odd := map[string]bool{}
	for _, n := range nodes {
		for _, m := range n.Status.Members {
			text := m.State
			if m.Suspected {
				text += ", suspected"
			}
			if views[m.Node] == nil {
				views[m.Node] = tally{}
			}
			views[m.Node].add(text, n.Status.Node)
			odd[m.Node] = odd[m.Node] || text != "ready"
		}
	}
	for node, t := range views {
		seen := 0
		for _, by := range t {
			seen += len(by)
		}
		if seen < len(nodes) {
			t.add("unknown", fmt.Sprintf("%d of %d nodes", len(nodes)-seen, len(nodes)))
			odd[node] = true
		}
	}
	title := "\nmembers that are not ready everywhere:\n"
	for _, node := range slices.Sorted(maps.Keys(views)) {
		if odd[node] {
			fmt.Fprintf(w, "%s%s: %s\n", title, node, views[node])
			title = ""
		}
	}
}

// writeShed shows what nodes refuse, and why.
func writeShed(w io.Writer, nodes []nodeView) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	title := "\nrefused since the start:\nnode\tin flight of limit\tqueued\tcutoff\tat the entry\tat the guard\tearly\t\n"
	for _, n := range nodes {
		c := n.Counters
		if c == nil || len(c.Refusals) == 0 && len(c.GuardRefusals) == 0 && n.Status.Target.Cutoff == 0 {
			continue
		}
		t := n.Status.Target
		fmt.Fprintf(tw, "%s%s\t%d of %d\t%d\t%d\t%s\t%s\t%d\t\n", title, n.Status.Node, t.InFlight, t.Limit, t.Queued,
			t.Cutoff, reasons(c.Refusals), reasons(c.GuardRefusals), c.EarlyRefusals)
		title = ""
	}
	flush(tw)
}

// reasons lists counts by reason, the highest first.
func reasons(counts map[string]int64) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		if counts[a] != counts[b] {
			return int(min(max(counts[b]-counts[a], -1), 1))
		}
		return strings.Compare(a, b)
	})
	for i, name := range names {
		names[i] = fmt.Sprintf("%s=%d", name, counts[name])
	}
	return nameOr(strings.Join(names, " "), "-")
}

// writeOwners shows the owners of the key ranges of the services of the nodes:
// of each range what the node with the highest epoch sees.
func writeOwners(w io.Writer, nodes []nodeView) {
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
	owners := map[string]tally{}
	for k, r := range newest {
		if owners[k.service] == nil {
			owners[k.service] = tally{}
		}
		owners[k.service].add(nameOr(r.Owner, "none"), fmt.Sprint(k.number))
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
