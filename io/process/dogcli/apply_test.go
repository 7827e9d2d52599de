package dogcli

import (
	"encoding/json"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"dogwoodford"
	"dogwoodford/core/version/dogcontract"
)

// loseAnswers returns a hook for fakePlatform.onPut that leaves the first n writes
// unanswered; they take effect if takeEffect is set. If then is set, it runs before
// each later write.
func loseAnswers(n int, takeEffect bool, then func()) func(int) (bool, error) {
	return func(i int) (bool, error) {
		if i <= n {
			return takeEffect, dogwoodford.ErrUnavailable
		}
		if then != nil {
			then()
		}
		return false, nil
	}
}

type applyEnv struct {
	t        *testing.T
	platform *fakePlatform
}

// writeAsOther overwrites the contract as another operator.
func (e applyEnv) writeAsOther(generation int64, burst string) {
	e.platform.overwriteContract(e.t, "firm-1", contractText(e.t, generation, burst))
}

type applyCase struct {
	name               string
	platformGeneration int64 // Generation in the platform; 0 for none.
	fileGeneration     int64
	args               []string
	prepare            func(e applyEnv)
	code               int
	generation         int64 // In the platform after the command.
	burst              string
	output             string
}

var applyCases = []applyCase{
	{name: "first", fileGeneration: 1, code: CodeOK, generation: 1, burst: "33", output: "generation 1 accepted"},
	{name: "next", platformGeneration: 4, fileGeneration: 4, code: CodeOK, generation: 5, burst: "33",
		output: "~ [contract] resend_burst = 20 -> 33\ncustomer firm-1: generation 5 accepted"},
	{name: "dry run", platformGeneration: 4, fileGeneration: 4, args: []string{"--dry-run"}, code: CodeOK, generation: 4, burst: "20",
		output: "generation 5 would be applied"},
	{name: "file behind", platformGeneration: 5, fileGeneration: 4, code: CodeConflict, generation: 5, burst: "20",
		output: "~ [contract] generation = 5 -> 4"},
	{name: "platform restored", platformGeneration: 3, fileGeneration: 4, code: CodeConflict, generation: 3, burst: "20"},
	{name: "answer lost after the write", platformGeneration: 4, fileGeneration: 4, code: CodeOK, generation: 5, burst: "33",
		prepare: func(e applyEnv) {
			e.platform.onPut = loseAnswers(1, true, nil)
		}},
	{name: "request lost before the write", platformGeneration: 4, fileGeneration: 4, code: CodeOK, generation: 5, burst: "33",
		prepare: func(e applyEnv) {
			e.platform.onPut = loseAnswers(2, false, nil)
		}},
	{name: "another operator first", platformGeneration: 4, fileGeneration: 4, code: CodeConflict, generation: 5, burst: "7",
		output: "~ [contract] resend_burst = 7 -> 33",
		prepare: func(e applyEnv) {
			e.platform.onPut = loseAnswers(0, false, func() { e.writeAsOther(5, "7") })
		}},
	{name: "another operator while the request is lost", platformGeneration: 4, fileGeneration: 4, code: CodeConflict, generation: 5, burst: "7",
		prepare: func(e applyEnv) {
			e.platform.onPut = loseAnswers(1, false, func() { e.writeAsOther(5, "7") })
		}},
	{name: "accepted and followed by another", platformGeneration: 4, fileGeneration: 4, code: CodeUncertain, generation: 6, burst: "7",
		prepare: func(e applyEnv) {
			e.platform.onPut = loseAnswers(1, true, func() { e.writeAsOther(6, "7") })
		}},
	{name: "platform down", platformGeneration: 4, fileGeneration: 4, code: CodeUnavailable, generation: 4, burst: "20",
		prepare: func(e applyEnv) { e.platform.onGet = func() error { return dogwoodford.ErrUnavailable } }},
	{name: "platform down from the write on", platformGeneration: 4, fileGeneration: 4, code: CodeUncertain, generation: 4, burst: "20",
		prepare: func(e applyEnv) {
			e.platform.onPut = loseAnswers(1000, false, nil)
		}},
}

// TestApply guards against an apply that reports the wrong outcome after an
// unanswered write, that overwrites another operator's change, or that loses its
// own.
func TestApply(t *testing.T) {
	for _, tc := range applyCases {
		synctest.Test(t, tc.run)
	}
}

func (tc applyCase) run(t *testing.T) {
	p := newFakePlatform()
	if tc.platformGeneration > 0 {
		p.overwriteContract(t, "firm-1", contractText(t, tc.platformGeneration, "20"))
	}
	if tc.prepare != nil {
		tc.prepare(applyEnv{t, p})
	}
	file := contractFile(t, tc.fileGeneration, "33")
	res := runCommand(t, p, nil, append([]string{"contract", "apply", "--platform", "x", file}, tc.args...)...)
	p.onGet = nil
	o, _ := p.Get(t.Context(), "contract/firm-1")
	c, err := dogcontract.Parse("platform", o.Value)
	if err != nil {
		t.Fatal(err)
	}
	if res.code != tc.code || c.Generation() != tc.generation || !strings.Contains(string(o.Value), "resend_burst = "+tc.burst+"\n") {
		t.Errorf("%s: code %d, want %d; generation %d, want %d, burst %s\n%s%s",
			tc.name, res.code, tc.code, c.Generation(), tc.generation, tc.burst, res.stdout, res.stderr)
	}
	if !strings.Contains(res.stdout, tc.output) {
		t.Errorf("%s: output lacks %q:\n%s%s", tc.name, tc.output, res.stdout, res.stderr)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	// An accepted file is updated, so that the next apply can be based on it.
	accepted := tc.code == CodeOK && len(tc.args) == 0
	if same := string(text) == string(o.Value); accepted != same {
		t.Errorf("%s: the file equals the platform's text: %v, want %v", tc.name, same, accepted)
	}
}

// TestTwoOperators guards against concurrent applies based on the same generation
// of which several are reported as accepted, when some writes are not answered.
func TestTwoOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		p.overwriteContract(t, "firm-1", contractText(t, 1, "20"))
		var mu sync.Mutex
		p.onPut = func(n int) (bool, error) {
			if n%3 != 0 {
				return n%2 == 0, dogwoodford.ErrUnavailable
			}
			return false, nil
		}
		accepted := map[string]bool{}
		var wg sync.WaitGroup
		for _, burst := range []string{"31", "32", "33", "34"} {
			file := contractFile(t, 1, burst)
			wg.Go(func() {
				ok := applyJSON(t, p, file)
				mu.Lock()
				defer mu.Unlock()
				if ok {
					accepted[burst] = true
				}
			})
		}
		wg.Wait()
		if len(accepted) != 1 {
			t.Fatalf("accepted %v, want one", accepted)
		}
		o, _ := p.Get(t.Context(), "contract/firm-1")
		for burst := range accepted {
			if !strings.Contains(string(o.Value), "resend_burst = "+burst+"\n") {
				t.Errorf("accepted %s; the platform holds\n%s", burst, o.Value)
			}
		}
	})
}

// applyJSON runs contract apply --json and reports whether it was accepted.
func applyJSON(t *testing.T, p *fakePlatform, file string) bool {
	res := runCommand(t, p, nil, "contract", "apply", "--json", "--platform", "x", file)
	var got applyResult
	if err := json.Unmarshal([]byte(res.stdout), &got); err != nil {
		t.Errorf("decode output: %v in %s", err, res.stdout)
	}
	if got.Code != res.code || got.Accepted != (res.code == CodeOK) || res.code != CodeOK && res.code != CodeConflict {
		t.Errorf("code %d: %+v", res.code, got)
	}
	return got.Accepted
}
