package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/soak"
)

// regressions are seeds of runs that failed, with the cause of the failure.
var regressions = []struct {
	seed             uint64
	concurrentFaults int
	cause            string
}{
	{502, 3, "a good version had the name of a version that had been reverted, and the run mistook that result for its own"},
	{2008, 3, "the stand-in store blocked on calls without a response, as it had not read their body"},
	{9303, 3, "two faults stopped the same VM 0.6 s apart, and the second SIGTERM ended its grace period"},
}

// binary builds a program in a temporary directory and returns its path.
func binary(t *testing.T, program string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), program)
	out, err := exec.Command("go", "build", "-o", path, "github.com/poplarshore/poplarshore/cmd/"+program).CombinedOutput()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), string(out))
	return path
}

// run does a short run with 3 VMs and checks that it has no violations.
func run(t *testing.T, binaryPath string, seed uint64, concurrentFaults int, restores bool) {
	t.Helper()
	g := NewWithT(t)
	o := soak.DefaultOptions()
	o.Binary, o.Seed, o.ConcurrentFaults = binaryPath, seed, concurrentFaults
	o.Restores, o.Limits, o.Crashes, o.Fragile = restores, restores, restores, false
	o.Duration, o.VMs, o.Engines, o.Rate = 6*time.Second, 3, 3, 30
	report := expectNoViolations(t, o)
	g.Expect(report.Requests).To(BeNumerically(">", 50))
	g.Expect(report.Faults).NotTo(BeEmpty())
}

// expectNoViolations does a run in a directory of its own and checks that it has no violations and injected faults of
// some kinds. It returns the report.
func expectNoViolations(t *testing.T, o soak.Options, kinds ...string) *soak.Report {
	t.Helper()
	g := NewWithT(t)
	o.Dir = t.TempDir()
	report, err := soak.Run(t.Context(), o)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Violations).To(BeEmpty(), "seed %d: logs in %s", o.Seed, report.Dir)
	for _, kind := range kinds {
		g.Expect(report.Faults).To(HaveKey(kind))
	}
	return report
}

func TestShortSoakHasNoViolations(t *testing.T) {
	run(t, binary(t, "poplarshored"), 1, 1, true)
}

// VMs are cut off from engines, and engines end if they reject requests, beside
// configurations.
func TestShortSoakOfCutsAndFragileEnginesHasNoViolations(t *testing.T) {
	o := soak.DefaultOptions()
	o.CuttableBinary, o.Seed, o.ConcurrentFaults = binary(t, "poplarshore-soak"), 1, 2
	o.Duration, o.VMs, o.Engines, o.Rate, o.Only = 12*time.Second, 3, 3, 30, []string{"cut_off", "fragile", "configure"}
	expectNoViolations(t, o, "cut_off", "fragile")
}

// TestShortSoakOfFaultyAnswersHasNoViolations guards against repeated refusals, cut heads and errors in
// place of resumed streams that callers take for their own answers.
func TestShortSoakOfFaultyAnswersHasNoViolations(t *testing.T) {
	o := soak.DefaultOptions()
	o.Binary, o.Seed, o.ConcurrentFaults = binary(t, "poplarshored"), 9101, 5
	o.Duration, o.VMs, o.Engines, o.Rate, o.Answers, o.Only = 10*time.Second, 3, 4, 200, true, []string{"engine_answers"}
	expectNoViolations(t, o, "engine_answers")
}

// TestShortSoakOfPlannedStopsHasNoViolations guards against whole requests that a planned stop leaves
// without an answer, while signals, restarts and configurations overlap.
func TestShortSoakOfPlannedStopsHasNoViolations(t *testing.T) {
	o := soak.DefaultOptions()
	o.Binary, o.Seed, o.ConcurrentFaults = binary(t, "poplarshored"), 4601, 3
	o.Duration, o.VMs, o.Engines, o.Rate, o.LateCallers, o.Only = 14*time.Second, 3, 3, 30, 60, []string{"stop", "hangup", "configure"}
	expectNoViolations(t, o, "stop")
}

// TestShortSoakOfOddRowsHasNoViolations guards against processes that end on one odd entry among those of the
// engines, and against requests that are sent to it.
func TestShortSoakOfOddRowsHasNoViolations(t *testing.T) {
	o := soak.DefaultOptions()
	o.Binary, o.Seed, o.ConcurrentFaults = binary(t, "poplarshored"), 4701, 2
	o.Duration, o.VMs, o.Engines, o.Rate, o.OddRows, o.Only = 10*time.Second, 3, 3, 100, true, []string{"odd_rows", "configure"}
	expectNoViolations(t, o, "odd_rows")
}

// TestShortSoakOfRegionsHasNoViolations guards against requests to evacuated upstreams and outside
// home regions while configurations change.
func TestShortSoakOfRegionsHasNoViolations(t *testing.T) {
	o := soak.DefaultOptions()
	o.Binary, o.Seed, o.ConcurrentFaults = binary(t, "poplarshored"), 1, 2
	o.Duration, o.VMs, o.Engines, o.Rate, o.Regions, o.Only = 14*time.Second, 3, 6, 40, true, []string{"evacuation", "home_regions", "configure"}
	expectNoViolations(t, o, "evacuation", "home_regions")
}

// TestShortSoakOfSilentEnginesHasNoViolations guards against whole requests that end without an answer because sound
// engines were silent for a moment, while configurations, signals and planned stops overlap.
func TestShortSoakOfSilentEnginesHasNoViolations(t *testing.T) {
	g := NewWithT(t)
	o := soak.DefaultOptions()
	o.Binary, o.Seed, o.ConcurrentFaults, o.Fragile = binary(t, "poplarshored"), 5509, 3, false
	o.Duration, o.VMs, o.Engines, o.Rate, o.LateCallers = 7*time.Second, 3, 2, 60, 10
	o.Silences, o.Only = true, []string{"engine_silence", "configure", "hangup", "stop"}
	report := expectNoViolations(t, o, "engine_silence")
	g.Expect(report.Silences.DuringSilence).To(BeNumerically(">", 50))
}

// TestShortSoakOfFloodsHasNoViolations guards against processes that run out of memory because engines send events without end,
// and against requests to others that these fail or delay.
func TestShortSoakOfFloodsHasNoViolations(t *testing.T) {
	g := NewWithT(t)
	o := soak.DefaultOptions()
	o.Binary, o.Seed, o.ConcurrentFaults, o.Fragile = binary(t, "poplarshored"), 5752, 2, false
	o.Duration, o.VMs, o.Engines, o.Rate = 6*time.Second, 1, 2, 400
	o.Floods, o.FloodPlaces, o.Only = true, []string{"event", "lines"}, []string{"engine_flood"}
	report := expectNoViolations(t, o)
	t.Logf("%d MiB at most, %v, %d requests", report.Floods.PeakBytes>>20, report.Floods.Places, report.Requests)
	g.Expect(report.Floods.Places).NotTo(BeEmpty())
	g.Expect(report.Floods.Neighbours).To(BeNumerically(">", 50))
	g.Expect(report.Floods.Flooded).To(BeNumerically(">", 50))
}

// TestShortSoakOfLostConnectionsHasNoViolations guards against configurations that come into force late, and requests to
// upstreams that have left, because reads of the store wait on connections that fell silent for good.
func TestShortSoakOfLostConnectionsHasNoViolations(t *testing.T) {
	o := soak.DefaultOptions()
	o.Binary, o.Seed, o.ConcurrentFaults = binary(t, "poplarshored"), 6500, 3
	o.Duration, o.VMs, o.Engines, o.Rate = 20*time.Second, 6, 6, 200
	o.LostConnections, o.Only = true, []string{"connections_lost", "configure", "keys", "engine_leaves"}
	expectNoViolations(t, o, "connections_lost", "engine_leaves")
}

// TestShortSoakOfAllLostConnectionsHasNoViolations guards against changes that come late while configurations of each kind
// are sent, VMs have little processor time and the connections to the store, to upstreams and between VMs are lost.
func TestShortSoakOfAllLostConnectionsHasNoViolations(t *testing.T) {
	o := soak.DefaultOptions()
	o.CuttableBinary, o.Seed, o.ConcurrentFaults = binary(t, "poplarshore-soak"), 7000, 4
	o.Duration, o.VMs, o.Engines, o.Rate, o.LateCallers = 18*time.Second, 6, 6, 100, 8
	o.LostConnections, o.Configurations, o.SlowParts = true, true, true
	o.Only = []string{"all_connections_lost", "configure_variant", "configure_storm", "keys", "engine_leaves", "engine_vanishes", "vm_slow", "peers_unreachable"}
	expectNoViolations(t, o, "all_connections_lost", "configure_storm")
}

// TestShortSoakOfSlowVersionHasNoViolations guards against a slow version that is completed beside a burst of streams, as its
// engines are empty while those of the old version are full.
func TestShortSoakOfSlowVersionHasNoViolations(t *testing.T) {
	o := soak.DefaultOptions()
	o.Binary, o.Seed, o.ConcurrentFaults = binary(t, "poplarshored"), 7300, 1
	o.Duration, o.VMs, o.Engines, o.Rate = 16*time.Second, 3, 6, 60
	o.Fragile, o.SlowVersions, o.Only = false, true, []string{"rollout_slow"}
	expectNoViolations(t, o, "rollout_slow")
}

func TestRegressionSeedsHaveNoViolations(t *testing.T) {
	path := binary(t, "poplarshored")
	for _, r := range regressions {
		t.Log(r.seed, r.cause)
		run(t, path, r.seed, r.concurrentFaults, false)
	}
}
