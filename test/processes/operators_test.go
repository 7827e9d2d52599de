package processes

import (
	"fmt"
	"strings"
	"sync"
	"testing"
)

// TestTwoOperators guards against an update that is lost silently when two
// operators apply the same contract at once.
func TestTwoOperators(t *testing.T) {
	f := newFleet(t, 5)
	one := f.addWorker("rounds-1", "midrand", "")
	two := f.addWorker("rounds-2", "germiston", "")
	f.startAll()
	const rounds = 5
	for round := range rounds {
		generation := round + 1
		codes, outputs := f.applyConcurrently(generation, 1000+10*round)
		winner := 0
		if codes[1] == 0 {
			winner = 1
		}
		loser := 1 - winner
		if codes[winner] != 0 || codes[loser] != 4 || !strings.Contains(outputs[winner], fmt.Sprintf("generation %d accepted", generation+1)) {
			t.Fatalf("codes %v\n%s\n%s", codes, outputs[0], outputs[1])
		}
		if !strings.Contains(outputs[loser], "resend_burst") || !strings.Contains(outputs[loser], fmt.Sprint(1000+10*round+loser+1)) {
			t.Errorf("the difference is missing from the output:\n%s", outputs[loser])
		}
		if code, out := f.runCommand("contract", "status", "firm-1", "--platform", f.platformAddress, "--node", one.admin, "--node", two.admin, "--wait"); code != 0 {
			t.Errorf("status --wait: code %d\n%s", code, out)
		}
		f.checkGeneration(int64(generation+1), one, two)
		_, text := f.runCommand("contract", "pull", "firm-1", "--platform", f.platformAddress)
		if !strings.Contains(text, fmt.Sprintf("resend_burst = %d", 1000+10*round+winner+1)) {
			t.Errorf("the platform does not hold the accepted contract:\n%.200s", text)
		}
	}
}

// applyConcurrently applies two contracts based on the same generation at once.
// They differ in resend_burst, which is burst+1 and burst+2.
func (f *fleet) applyConcurrently(generation, burst int) (codes []int, outputs []string) {
	f.t.Helper()
	codes, outputs = make([]int, 2), make([]string, 2)
	var wg sync.WaitGroup
	for i := range codes {
		text := strings.Replace(contractText, "generation = 1", fmt.Sprintf("generation = %d", generation), 1)
		text = strings.Replace(text, "resend_burst = 1000", fmt.Sprintf("resend_burst = %d", burst+i+1), 1)
		file := f.writeFile(fmt.Sprintf("operator-%d.ini", i), text)
		wg.Go(func() {
			codes[i], outputs[i] = f.runCommand("contract", "apply", "--platform", f.platformAddress, file)
		})
	}
	wg.Wait()
	return codes, outputs
}

func (f *fleet) checkGeneration(generation int64, workers ...*worker) {
	f.t.Helper()
	for _, w := range workers {
		if s, err := f.status(w); err != nil || s.Generation("firm-1") != generation {
			f.t.Errorf("%s: generation %d, %v", w.name, s.Generation("firm-1"), err)
		}
	}
}
