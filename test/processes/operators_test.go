package processes

import (
	"fmt"
	"strings"
	"sync"
	"testing"
)

// TestTwoOperators guards against a change that is lost without notice when two
// operators apply the same contract at once.
func TestTwoOperators(t *testing.T) {
	f := newFleet(t, 5)
	one := f.add("rounds-1", "midrand", "")
	two := f.add("rounds-2", "germiston", "")
	f.run()
	const rounds = 5
	for round := range rounds {
		generation := round + 1
		codes, outs := f.applyTwo(generation, 1000+10*round)
		winner := 0
		if codes[1] == 0 {
			winner = 1
		}
		loser := 1 - winner
		if codes[winner] != 0 || codes[loser] != 4 || !strings.Contains(outs[winner], fmt.Sprintf("generation %d accepted", generation+1)) {
			t.Fatalf("codes %v\n%s\n%s", codes, outs[0], outs[1])
		}
		if !strings.Contains(outs[loser], "resend_burst") || !strings.Contains(outs[loser], fmt.Sprint(1000+10*round+loser+1)) {
			t.Errorf("no difference in\n%s", outs[loser])
		}
		if code, out := f.command("contract", "status", "firm-1", "--platform", f.platform, "--node", one.admin, "--node", two.admin, "--wait"); code != 0 {
			t.Errorf("status --wait: code %d\n%s", code, out)
		}
		f.hasGeneration(int64(generation+1), one, two)
		_, text := f.command("contract", "pull", "firm-1", "--platform", f.platform)
		if !strings.Contains(text, fmt.Sprintf("resend_burst = %d", 1000+10*round+winner+1)) {
			t.Errorf("the platform does not hold the accepted contract:\n%.200s", text)
		}
	}
}

// applyTwo applies two contracts built on one generation at once. They differ
// in resend_burst, which is burst+1 and burst+2.
func (f *fleet) applyTwo(generation, burst int) (codes []int, outs []string) {
	f.t.Helper()
	codes, outs = make([]int, 2), make([]string, 2)
	var wg sync.WaitGroup
	for i := range codes {
		text := strings.Replace(contractText, "generation = 1", fmt.Sprintf("generation = %d", generation), 1)
		text = strings.Replace(text, "resend_burst = 1000", fmt.Sprintf("resend_burst = %d", burst+i+1), 1)
		file := f.write(fmt.Sprintf("operator-%d.ini", i), text)
		wg.Go(func() { codes[i], outs[i] = f.command("contract", "apply", "--platform", f.platform, file) })
	}
	wg.Wait()
	return codes, outs
}

func (f *fleet) hasGeneration(generation int64, workers ...*worker) {
	f.t.Helper()
	for _, w := range workers {
		if s, err := f.status(w); err != nil || s.Generation("firm-1") != generation {
			f.t.Errorf("%s: generation %d, %v", w.name, s.Generation("firm-1"), err)
		}
	}
}
