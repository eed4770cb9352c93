package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/fleetowner"
	"github.com/pumicestage/pumicestage/internal/jobfront"
	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

// runExplainJob runs "explain job" against an entry VM that serves report, or
// that knows no job if report is nil.
func runExplainJob(t *testing.T, report *jobfront.Report, args ...string) (status int, out, errOutput string) {
	t.Helper()
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if report == nil || r.URL.Path != "/explain/"+string(report.Job) {
			http.Error(w, "no such job", http.StatusNotFound)
			return
		}
		assert.Check(t, json.NewEncoder(w).Encode(report))
	}))
	defer entry.Close()
	var stdout, stderr bytes.Buffer
	args = append([]string{"explain", "job", "5c0e7a21d94b36f8", "--entry", strings.TrimPrefix(entry.URL, "http://")}, args...)
	status = run(args, newCLI(strings.NewReader(""), &stdout, &stderr))
	return status, stdout.String(), stderr.String()
}

func TestExplainJobPrintsStateAndReasons(t *testing.T) {
	report := &jobfront.Report{Job: "5c0e7a21d94b36f8", Cell: "weighting", Owner: "entry-2", Explanation: &engine.Explanation{
		State: work.Running, Queue: "weights", Token: 412, Config: 7, Age: 1500 * time.Millisecond, Objective: 4 * time.Second,
		Left: 2 * time.Second, Tier: "in time", Restored: true, Zone: "z2",
		Steps: []engine.StepExplanation{{
			Step: "5c0e7a21d94b36f8.0.0", Tasks: map[string]int{"running": 1, "waiting": 2}, Waits: map[taskplan.Reason]int{taskplan.ReasonCapacity: 3},
			Limit: &engine.LimitExplanation{
				Workspace: "red", Limit: work.Resources{MilliCPU: 8000, MemoryMB: 64000}, Used: work.Resources{MilliCPU: 1500, MemoryMB: 9000},
				May: work.Resources{MilliCPU: 2000, MemoryMB: 16000}, Holds: true, Others: map[string]workspace.Parts{"tabulation": 7500},
				Turns: []workspace.Turn{{Cell: "tabulation", Parts: 7500}, {Cell: "weighting", Parts: 6000}},
			},
			Advice:  &engine.AdviceExplanation{Asked: 12, Allowed: 3, Usable: 1, OtherCallPending: true, Failures: 2},
			Crashed: []engine.CrashExplanation{{Task: "5c0e7a21d94b36f8.0.0.2", Crashes: 2, Addresses: []string{"10.1.0.4:80"}, Suspect: true}},
			Runs:    []engine.RunExplanation{{Task: "5c0e7a21d94b36f8.0.0.1", Run: 2, Worker: "i-1", State: "running", Percent: 40, For: time.Second, Failures: 1, Silent: 2}},
		}},
	}}
	status, out, _ := runExplainJob(t, report)
	assert.Equal(t, status, exitOK)
	assert.Equal(t, out, `job 5c0e7a21d94b36f8 of service weighting
owner entry-2, token 412, configuration 7
running in queue weights for 1.5s, objective 4s, 2s of work left: in time
an earlier owner accepted it, and not all workers were heard since: nothing of it begins yet
its short tasks prefer zone z2
step 5c0e7a21d94b36f8.0.0: 1 running 2 waiting
  workers for what waits: 3 no room
  limit of workspace red: 8.0 cores 64000 MB in all cells; here 1.5 cores 9000 MB used, 2.0 cores 16000 MB allowed: waits for its workspace's limit
  other cells have of it: tabulation 75.0%; those not named an even share
  cells that need more than a fair share at once, in turn: tabulation 75.0%, weighting 60.0%
  advisor: asked about 12 workers, 3 allowed, 1 with a valid ticket; waits for a call about another step; the last 2 calls failed
  5c0e7a21d94b36f8.0.0.2: 2 workers crashed under it (10.1.0.4:80), tried apart from other work
  5c0e7a21d94b36f8.0.0.1 run 2 running on i-1 for 1s, 40%, failed 1 times before, its worker did not answer 2 polls
`)
	status, out, _ = runExplainJob(t, report, "-o", "json")
	assert.Equal(t, status, exitOK)
	assert.Assert(t, json.Valid([]byte(out)))
}

func TestExplainJobWithoutOwnerPrintsStoredState(t *testing.T) {
	ended := time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC)
	status, out, _ := runExplainJob(t, &jobfront.Report{
		Job: "5c0e7a21d94b36f8", Cell: "weighting", StoredState: work.Completed, Ended: ended, MissingReason: "engine: not ready",
	})
	assert.Equal(t, status, exitOK)
	assert.Equal(t, out, `job 5c0e7a21d94b36f8 of service weighting
the store says: completed at 2026-05-04T08:00:00Z
owner (nobody) does not explain it: engine: not ready
`)
}

func TestExplainUnknownJobFails(t *testing.T) {
	status, out, errOutput := runExplainJob(t, nil)
	assert.Equal(t, status, exitFailure)
	assert.Equal(t, out, "")
	assert.Assert(t, strings.Contains(errOutput, "no such job"), errOutput)
}

func TestExplainWorkspacesPrintsUsePerCell(t *testing.T) {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		assert.Check(t, json.NewEncoder(w).Encode([]jobfront.CellReport{
			{Cell: "booking", MissingReason: "engine: not ready"},
			{Cell: "weighting", Summary: &engine.Summary{Workspaces: []engine.WorkspaceUse{{
				Workspace: "red", Used: work.Resources{MilliCPU: 1500}, May: work.Resources{MilliCPU: 2000}, Limit: work.Resources{MilliCPU: 8000}, Waits: true,
			}}}},
		}))
	}))
	defer entry.Close()
	var stdout, stderr bytes.Buffer
	args := []string{"explain", "workspaces", "--entry", strings.TrimPrefix(entry.URL, "http://")}
	assert.Equal(t, run(args, newCLI(strings.NewReader(""), &stdout, &stderr)), exitOK, stderr.String())
	var lines []string
	for line := range strings.Lines(stdout.String()) {
		lines = append(lines, strings.TrimRight(line, " \n"))
	}
	assert.DeepEqual(t, lines, []string{
		"WORKSPACE  CELL       USED HERE          ALLOWED HERE  LIMIT IN ALL  WAITS FOR IT",
		"           booking    engine: not ready",
		"red        weighting  1.5 cores          2.0 cores     8.0 cores     true",
	})
}

func TestExplainCellsPrintsARowPerCell(t *testing.T) {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == "/cells")
		assert.Check(t, json.NewEncoder(w).Encode([]jobfront.CellReport{
			{Cell: "booking", MissingReason: "engine: not ready"},
			{Cell: "weighting", Owner: "entry-2", Summary: &engine.Summary{
				Jobs: map[work.State]int{work.Queued: 3, work.Running: 8}, Oldest: 1234567 * time.Microsecond, Workers: 9, Busy: 7, Silent: 1, Used: 71.5, Backlog: 12,
			}},
		}))
	}))
	defer entry.Close()
	var stdout, stderr bytes.Buffer
	args := []string{"explain", "cells", "--entry", strings.TrimPrefix(entry.URL, "http://")}
	assert.Equal(t, run(args, newCLI(strings.NewReader(""), &stdout, &stderr)), exitOK, stderr.String())
	var lines []string
	for line := range strings.Lines(stdout.String()) {
		lines = append(lines, strings.TrimRight(line, " \n"))
	}
	assert.DeepEqual(t, lines, []string{
		"CELL       OWNER     JOBS                OLDEST WAITS  WORKERS  BUSY  SILENT  CORES  BACKLOG",
		"booking    (nobody)  engine: not ready",
		"weighting  entry-2   3 queued 8 running  1.235s        9        7     1       72     12",
	})
}

// Guards against a plan that is explained without the reason for the VM in question, or without the
// entry VM to ask.
func TestExplainCapacityPrintsThePlanAndWhyAVMIsKept(t *testing.T) {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/capacity" || r.URL.Query().Get("vm") != "v&1" {
			http.Error(w, "the fleet is owned by entry-2", http.StatusNotFound)
			return
		}
		assert.Check(t, json.NewEncoder(w).Encode(fleetowner.CapacityReport{
			CapacityCounts: fleetowner.CapacityCounts{InPools: 9, Parked: 4, Wanted: 3, Shortage: 1},
			Ready:          10, Peak: 8, Reserve: 2, Reason: "planned", IdleTime: 1400 * time.Millisecond, ParkingHeld: true,
			Pools: []fleetowner.PoolCapacity{{Name: "off", Parked: true, VMs: 4, Empty: 4}, {Name: "weighting", VMs: 8, Empty: 5, Incoming: 1, Floor: 2}},
			VM:    &fleetowner.VMCapacity{ID: "v&1", Pool: "weighting", Why: "kept: it has tasks"},
		}))
	}))
	defer entry.Close()
	var stdout, stderr bytes.Buffer
	args := []string{"explain", "capacity", "--entry", strings.TrimPrefix(entry.URL, "http://")}
	assert.Equal(t, run(append(args, "v&1"), newCLI(strings.NewReader(""), &stdout, &stderr)), exitOK, stderr.String())
	assert.Equal(t, stdout.String(), `VM v&1, pool weighting: kept: it has tasks
plan: 10 VMs ready (peak 8, reserve 2), planned; excess parked once empty for 1.4s; history 0s old
in pools 9, parked 4, wanted 3, short 1
no VM is parked yet, as the fleet's owner has not observed the load for long enough
POOL          VMS  EMPTY  INCOMING  FLOOR
off (parked)  4    4      0         0
weighting     8    5      1         2
`)
	assert.Assert(t, run(args, newCLI(strings.NewReader(""), &stdout, &stderr)) != exitOK)
	assert.Assert(t, strings.Contains(stderr.String(), "owned by entry-2"), stderr.String())
}
