package loadtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrProcess is returned for a malformed process.
var ErrProcess = eris.New("malformed process, want NAME=PID or NAME=PID,ADMIN")

// Process is a process whose resource usage is measured.
type Process struct {
	Name  string
	PID   int
	Admin string // Address of an admin listener with expvar; empty if none.
}

// Usage holds the resources that a process used during a run.
type Usage struct {
	Name          string  `json:"name"`
	CPUSeconds    float64 `json:"cpu_s"`
	CPUPerCall    float64 `json:"cpu_s_per_call"` // Per call on any way, including the warm-up.
	AllocsPerCall float64 `json:"allocs_per_call"`
	BytesPerCall  float64 `json:"bytes_per_call"`
	HeapMB        float64 `json:"heap_mb"` // In use at the end.
	RSSMB         float64 `json:"rss_mb"`  // Resident at the end.
}

// ParseProcess parses NAME=PID or NAME=PID,ADMIN.
func ParseProcess(s string) (Process, error) {
	name, rest, ok := strings.Cut(s, "=")
	pid, admin, _ := strings.Cut(rest, ",")
	n, err := strconv.Atoi(pid)
	if !ok || name == "" || err != nil || n <= 0 {
		return Process{}, fmt.Errorf("parse %q: %w", s, ErrProcess)
	}
	return Process{Name: name, PID: n, Admin: admin}, nil
}

// Sample holds the counters of a process at one time.
type Sample struct {
	cpuSeconds     float64
	allocs         float64
	allocatedBytes float64
	heapMB         float64
	rssMB          float64
}

// ReadSample reads the counters of a process: CPU time and resident memory from
// /proc and, if it has an admin listener, allocations and heap from expvar.
func ReadSample(ctx context.Context, p Process) (Sample, error) {
	var s Sample
	if err := s.readProc(p.PID); err != nil {
		return s, fmt.Errorf("process %s: %w", p.Name, err)
	}
	if p.Admin == "" {
		return s, nil
	}
	if err := s.readVars(ctx, p.Admin); err != nil {
		return s, fmt.Errorf("process %s: %w", p.Name, err)
	}
	return s, nil
}

func (s *Sample) readProc(pid int) error {
	// Linux reports CPU time in ticks of 10 ms on all architectures.
	const ticksPerSecond = 100
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return fmt.Errorf("read stat: %w", err)
	}
	// The name of the command may contain spaces, so fields are counted from the
	// bracket that follows it.
	_, rest, ok := bytes.Cut(stat, []byte(") "))
	f := strings.Fields(string(rest))
	if !ok || len(f) < 22 {
		return fmt.Errorf("read stat: %w", ErrProcess)
	}
	user, err := strconv.ParseFloat(f[11], 64)
	if err != nil {
		return fmt.Errorf("read stat: %w", err)
	}
	system, err := strconv.ParseFloat(f[12], 64)
	if err != nil {
		return fmt.Errorf("read stat: %w", err)
	}
	pages, err := strconv.ParseFloat(f[21], 64)
	if err != nil {
		return fmt.Errorf("read stat: %w", err)
	}
	s.cpuSeconds = (user + system) / ticksPerSecond
	s.rssMB = pages * float64(os.Getpagesize()) / 1e6
	return nil
}

func (s *Sample) readVars(ctx context.Context, admin string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/debug/vars", nil)
	if err != nil {
		return fmt.Errorf("read expvar: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("read expvar: %w", err)
	}
	defer resp.Body.Close()
	var vars struct {
		Memstats struct {
			Mallocs    float64
			TotalAlloc float64
			HeapInuse  float64
		} `json:"memstats"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return fmt.Errorf("read expvar: %w", err)
	}
	s.allocs, s.allocatedBytes, s.heapMB = vars.Memstats.Mallocs, vars.Memstats.TotalAlloc, vars.Memstats.HeapInuse/1e6
	return nil
}

// UsageBetween returns the resources that a process used between two samples,
// and the usage per call for the given number of calls.
func UsageBetween(name string, before, after Sample, calls int64) Usage {
	n := float64(max(calls, 1))
	return Usage{
		Name:          name,
		CPUSeconds:    after.cpuSeconds - before.cpuSeconds,
		CPUPerCall:    (after.cpuSeconds - before.cpuSeconds) / n,
		AllocsPerCall: (after.allocs - before.allocs) / n,
		BytesPerCall:  (after.allocatedBytes - before.allocatedBytes) / n,
		HeapMB:        after.heapMB,
		RSSMB:         after.rssMB,
	}
}
