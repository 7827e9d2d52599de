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

// ErrProcess is returned for a malformed description of a process.
var ErrProcess = eris.New("a process is NAME=PID or NAME=PID,ADMIN")

// Process is a process whose resources are measured.
type Process struct {
	Name  string
	PID   int
	Admin string // Address of an admin listener with expvar; empty if none.
}

// Usage is what a process used during a run.
type Usage struct {
	Name          string  `json:"name"`
	CPUSeconds    float64 `json:"cpu_s"`
	CPUPerCall    float64 `json:"cpu_s_per_call"` // Per call that was sent on any way.
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

// Sample is a reading of the counters of a process.
type Sample struct {
	cpu    float64
	allocs float64
	bytes  float64
	heap   float64
	rss    float64
}

// Read reads the counters of a process.
func Read(ctx context.Context, p Process) (Sample, error) {
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
	// Linux counts processor time in ticks of 10 ms on all its platforms.
	const ticks = 100
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return fmt.Errorf("read stat: %w", err)
	}
	// The name of the command may hold spaces; fields count from behind it.
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
	s.cpu = (user + system) / ticks
	s.rss = pages * float64(os.Getpagesize()) / 1e6
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
	s.allocs, s.bytes, s.heap = vars.Memstats.Mallocs, vars.Memstats.TotalAlloc, vars.Memstats.HeapInuse/1e6
	return nil
}

// UsageBetween returns what a process used between two samples, in which the
// given number of calls was sent.
func UsageBetween(name string, before, after Sample, calls int64) Usage {
	n := float64(max(calls, 1))
	return Usage{
		Name:          name,
		CPUSeconds:    after.cpu - before.cpu,
		CPUPerCall:    (after.cpu - before.cpu) / n,
		AllocsPerCall: (after.allocs - before.allocs) / n,
		BytesPerCall:  (after.bytes - before.bytes) / n,
		HeapMB:        after.heap,
		RSSMB:         after.rss,
	}
}
