package shifts_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/internal/shifts"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout/shift"
	"github.com/poplarshore/poplarshore/vm"
)

// table is the shared table. The test passes its rows to the managers.
type table struct {
	rows      map[string]watch.Row
	era       watch.Era
	revision  watch.Revision
	log       []watch.Row
	commitErr error
	writes    int
}

func (t *table) Commit(_ context.Context, c watch.Change) error {
	t.writes++
	if t.commitErr != nil {
		return t.commitErr
	}
	for _, e := range c.Expected {
		if t.rows[e.Key].Revision != e.Revision {
			return store.ErrConflict.New("row %q", e.Key)
		}
	}
	t.revision++
	for _, p := range c.Puts {
		t.rows[p.Key] = watch.Row{Key: p.Key, Value: p.Value, Revision: t.revision}
		t.log = append(t.log, t.rows[p.Key])
	}
	return nil
}

// batch returns all rows and changes of the current era.
func (t *table) batch() watch.Batch {
	return watch.Batch{Rows: t.log, At: t.revision, Era: t.era}
}

// bound is the bound on the requests to a bad version.
var bound = shift.Exposure{Share: 0.15, Slack: 30}

// fleet is a group of VMs with their managers and a shared clock.
type fleet struct {
	*WithT
	table     *table
	clock     *clockwork.FakeClock
	startedAt time.Time
	vms       []*shifts.Manager
}

func (f *fleet) Now() (time.Duration, bool) { return f.clock.Since(f.startedAt), true }

func newFleet(t *testing.T, vms ...vm.ID) *fleet {
	f := &fleet{WithT: NewWithT(t), table: &table{rows: make(map[string]watch.Row)}, clock: clockwork.NewFakeClock()}
	f.startedAt = f.clock.Now()
	for _, id := range vms {
		f.addVM(string(id))
	}
	return f
}

// addVM adds a VM that has listed the empty table.
func (f *fleet) addVM(id string) {
	m := shifts.New(shifts.Options{
		VM: vm.ID(id), Table: "own", VMCount: func() int { return 3 }, Plan: shift.PlanWithin(bound), SharedClock: f, Writer: f.table, Clock: f.clock,
		Announce: func(shift.State) ([]watch.Put, error) { return nil, nil },
		Log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	m.Replace(watch.Batch{})
	f.vms = append(f.vms, m)
}

// advance advances the clock by d in steps of 100 ms, with a tick of each VM and
// delivery of all rows in each step.
func (f *fleet) advance(d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		f.clock.Advance(100 * time.Millisecond)
		for _, m := range f.vms {
			m.Tick(context.Background())
			m.Change(f.table.batch())
		}
	}
}

func (f *fleet) order() {
	for _, m := range f.vms {
		m.Order(shift.Order{ID: 1, Service: "s", To: "v2", Duration: 20 * time.Second})
	}
}

func (f *fleet) state() shift.State {
	var s shift.State
	f.Expect(json.Unmarshal(f.table.rows["shift/s"].Value, &s)).To(Succeed())
	return s
}

func outcome(v model.VersionID, gap time.Duration, failed bool) shifts.Outcome {
	return shifts.Outcome{
		Attempt: shifts.Attempt{Service: "s", Version: v, Kind: "m", PromptTokens: 100},
		Failed:  failed, FirstEventLatency: 100 * time.Millisecond, TypicalGap: gap,
	}
}

func (f *fleet) recordOutcomes(vm, n int, o shifts.Outcome) {
	for range n {
		f.vms[vm].RecordOutcome(o)
	}
}

const usualGap = 50 * time.Millisecond

func TestAllVMsApplyStepsOfSharedRow(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.order()
	f.Expect(f.vms[0].Allowed("s", 0)("v2")).To(BeFalse())
	f.advance(2 * time.Second)
	f.Expect(f.table.rows).To(HaveLen(1))
	f.Expect(f.state().Phase).To(Equal(shift.Active))
	f.advance(9 * time.Second)
	f.Expect(f.state().Step).To(Equal(1))
	for _, m := range f.vms {
		f.Expect(m.Allowed("s", 0.1)("v2")).To(BeTrue())
		f.Expect(m.Allowed("s", 0.1)("v1")).To(BeFalse())
		f.Expect(m.Allowed("s", 0.9)("v2")).To(BeFalse())
	}
	f.recordOutcomes(1, 5, outcome("v2", usualGap, false))
	f.advance(7 * time.Second)
	f.Expect(f.state().Step).To(Equal(1))
	f.recordOutcomes(1, 20, outcome("v2", usualGap, false))
	f.advance(2 * time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Complete))
	f.Expect(f.vms[2].Allowed("s", 0.9)("v1")).To(BeFalse())
}

func TestFewFailuresPerVMTogetherRevertVersion(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.order()
	f.advance(11 * time.Second)
	for i := range f.vms {
		f.recordOutcomes(i, 40, outcome("v1", usualGap, false))
		f.recordOutcomes(i, 3, outcome("v2", usualGap, false))
		f.recordOutcomes(i, 2, outcome("v2", 0, true))
	}
	f.advance(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
	for _, m := range f.vms {
		f.Expect(m.Allowed("s", 0)("v2")).To(BeFalse())
	}
}

func TestBadVersionIsStoppedLocallyWhileStoreIsUnavailable(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.advance(11 * time.Second)
	f.table.commitErr = store.ErrUnavailable.New("away")
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.recordOutcomes(0, 6, outcome("v2", 0, true))
	f.advance(200 * time.Millisecond)
	f.Expect(f.vms[0].Allowed("s", 0)("v2")).To(BeFalse())
	f.Expect(f.state().Phase).To(Equal(shift.Active))
	f.table.commitErr = nil
	f.advance(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
}

// streams starts n streams on the first VM at the same time and advances the clock by
// their first events, with the given gap between them.
func (f *fleet) streams(n int, v model.VersionID, events int, gap time.Duration) []*shifts.Running {
	running := make([]*shifts.Running, n)
	for i := range running {
		running[i] = f.vms[0].Begin(outcome(v, 0, false).Attempt)
	}
	f.clock.Advance(100 * time.Millisecond)
	for event := range events {
		if event > 0 {
			f.clock.Advance(gap)
		}
		for _, r := range running {
			r.RecordEvent()
		}
	}
	return running
}

func TestSlowStreamsInProgressRevertVersion(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.advance(11 * time.Second)
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	fast := f.streams(1, "v2", 10, 2*usualGap)[0]
	f.Expect(fast.IsSlow()).To(BeFalse())
	f.Expect(fast.MaxSilence()).To(BeNumerically(">", usualGap))
	for _, r := range f.streams(6, "v2", 10, 8*usualGap) {
		f.Expect(r.IsSlow()).To(BeTrue())
	}
	f.advance(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
	f.Expect(f.state().Verdict.Bad).To(BeTrue())
}

func TestRetractedSlowStreamsDoNotRevertVersion(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.advance(11 * time.Second)
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	for _, broken := range f.streams(6, "v2", 10, 8*usualGap) {
		f.Expect(broken.IsSlow()).To(BeTrue())
		broken.End(shifts.Broken)
	}
	f.advance(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Active))
}

func TestSilentStreamsRevertVersion(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.advance(11 * time.Second)
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	for _, r := range f.streams(6, "v2", 2, usualGap) {
		r.RecordSilence()
	}
	f.advance(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
	f.Expect(f.state().Verdict.Bad).To(BeTrue())
}

// Streams that go on for longer than the roll-out must count for a good version, too.
func TestGoodStreamsInProgressCompleteVersion(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.advance(11 * time.Second)
	for _, r := range f.streams(30, "v2", 10, usualGap) {
		f.Expect(r.IsSlow()).To(BeFalse())
	}
	f.advance(9 * time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Complete))
}

// A stream may be fast in its beginning, and silent later.
func TestStreamThatBecomesSilentCountsOnceAsSlow(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.advance(11 * time.Second)
	r := f.streams(1, "v2", 10, usualGap)[0]
	f.clock.Advance(r.MaxSilence())
	r.RecordSilence()
	r.RecordSilence()
	r.End(shifts.Succeeded)
	f.advance(time.Second)
	seen := f.evidence("a").Seen
	f.Expect(seen.Answers.Requests).To(BeEquivalentTo(1))
	f.Expect(seen.Paced.Requests).To(BeEquivalentTo(1))
	f.Expect(seen.Paced.Slow).To(BeEquivalentTo(1))
}

// Prompts of other requests pause a stream. Its other gaps show its speed.
func TestPausedStreamIsNotSlow(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.advance(11 * time.Second)
	r := f.streams(1, "v2", 3, usualGap)[0]
	f.clock.Advance(10 * usualGap)
	r.RecordEvent()
	for range 6 {
		f.clock.Advance(usualGap)
		r.RecordEvent()
	}
	f.Expect(r.IsSlow()).To(BeFalse())
}

// Answers that take long are known late. While they are awaited, the few fast ones don't
// complete the version.
func TestOverdueAnswersHoldCompletion(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.order()
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.advance(11 * time.Second)
	var running []*shifts.Running
	for range 12 {
		running = append(running, f.vms[0].Begin(outcome("v2", 0, false).Attempt))
	}
	f.recordOutcomes(1, 25, outcome("v2", usualGap, false))
	f.advance(7 * time.Second)
	f.Expect(f.state().Step).To(Equal(1))
	for _, r := range running {
		r.End(shifts.Inconclusive)
	}
	f.advance(2 * time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Complete))
}

func TestRestartedVMResumesShiftAtCurrentStep(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.order()
	f.advance(11 * time.Second)
	restarted := newFleet(t, "a")
	restarted.table, restarted.clock, restarted.startedAt = f.table, f.clock, f.startedAt
	m := restarted.vms[0]
	m.Replace(f.table.batch())
	m.Order(shift.Order{ID: 1, Service: "s", To: "v2", Duration: 20 * time.Second})
	f.Expect(m.Allowed("s", 0)("v2")).To(BeTrue())
}

func TestLaterOrderStartsNewShiftAfterRevert(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.advance(11 * time.Second)
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.recordOutcomes(0, 6, outcome("v2", 0, true))
	f.advance(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
	f.vms[0].Order(shift.Order{ID: 2, Service: "s", To: "v3", Duration: 20 * time.Second})
	f.Expect(f.vms[0].Allowed("s", 0)("v3")).To(BeFalse())
	f.advance(12 * time.Second)
	f.Expect(f.state().Order.To).To(BeEquivalentTo("v3"))
	f.Expect(f.vms[0].Allowed("s", 0)("v3")).To(BeTrue())
}

func TestNoUnneededWritesBeforeFirstStep(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.order()
	f.advance(9 * time.Second)
	f.Expect(f.table.writes).To(BeNumerically("<=", 3))
}

// A version that was found bad on a few answers must be reverted even if further
// answers of the old version, which arrive before this VM can write, weaken the
// evidence.
func TestVersionFoundBadIsRevertedDespiteLaterGoodAnswers(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.advance(11 * time.Second)
	f.Expect(f.state().Step).To(Equal(1))
	f.recordOutcomes(0, 400, outcome("v1", usualGap, false))
	f.recordOutcomes(0, 2, outcome("v2", usualGap, true))
	f.table.commitErr = store.ErrUnavailable.New("away")
	f.advance(200 * time.Millisecond)
	f.Expect(f.vms[0].Allowed("s", 0)("v2")).To(BeFalse())
	f.recordOutcomes(0, 20_000, outcome("v1", usualGap, false))
	f.table.commitErr = nil
	f.advance(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
	f.Expect(f.state().Verdict.Bad).To(BeTrue())
}

// plainAnswer is a good answer of a service without prompts.
func plainAnswer(v model.VersionID, latency time.Duration) shifts.Outcome {
	return shifts.Outcome{Attempt: shifts.Attempt{Service: "s", Version: v}, FirstEventLatency: latency}
}

// recordPlainAnswers records answers of a plain service: a quarter of those of v1 takes
// nine times as long as usual, and of 24 of v2 the given number.
func (f *fleet) recordPlainAnswers(slowAnswers int) {
	const usual, slow = 15 * time.Millisecond, 130 * time.Millisecond
	oldVersion := func() {
		f.recordOutcomes(0, 6, plainAnswer("v1", usual))
		f.recordOutcomes(0, 2, plainAnswer("v1", slow))
	}
	f.advance(time.Second)
	for range 15 {
		oldVersion()
	}
	f.advance(10 * time.Second)
	for range 15 {
		oldVersion()
	}
	f.recordOutcomes(0, slowAnswers, plainAnswer("v2", slow))
	f.recordOutcomes(0, 24-slowAnswers, plainAnswer("v2", usual))
}

// The slow answers of the old version must not hide that most of the new one's are slow.
func TestSlowAnswersOfPlainServiceRevertVersionDespiteLatencyTail(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.recordPlainAnswers(18)
	f.advance(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
}

func TestPlainServiceWithManySlowAnswersIsNotCompleted(t *testing.T) {
	f := newFleet(t, "a")
	f.order()
	f.recordPlainAnswers(13)
	f.advance(20 * time.Second)
	f.Expect(f.state().Phase).NotTo(Equal(shift.Complete))
}

// A VM that saw two good answers must not complete a version that fails on other VMs.
func TestVMWithTwoGoodAnswersDoesNotCompleteVersionThatFailsElsewhere(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.order()
	f.advance(11 * time.Second)
	for i := range f.vms {
		f.recordOutcomes(i, 12, outcome("v1", usualGap, false))
		f.recordOutcomes(i, 2, outcome("v1", 0, true))
	}
	f.recordOutcomes(0, 2, outcome("v2", usualGap, false))
	f.recordOutcomes(1, 2, outcome("v2", 0, true))
	f.advance(9 * time.Second)
	f.Expect(f.state().Phase).NotTo(Equal(shift.Complete))
}

// Both versions fail as often on b, and on a nothing fails. a must not hold the failures
// on b against the new version.
func TestFailuresOfOneVMAreComparedWithItsOldVersion(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.order()
	f.advance(11 * time.Second)
	f.recordOutcomes(0, 60, outcome("v1", usualGap, false))
	f.recordOutcomes(0, 10, outcome("v2", usualGap, false))
	for _, v := range []model.VersionID{"v1", "v2"} {
		f.recordOutcomes(1, 10, outcome(v, usualGap, false))
		f.recordOutcomes(1, 10, outcome(v, 0, true))
	}
	f.advance(2 * time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Active))
	f.Expect(f.vms[0].Allowed("s", 0)("v2")).To(BeTrue())
}

// The answers that a VM saw before it was killed still count.
func TestEvidenceOfRestartedVMIsKept(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.order()
	f.advance(11 * time.Second)
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.recordOutcomes(0, 1, outcome("v2", 0, true))
	f.advance(500 * time.Millisecond)
	f.vms = nil
	f.addVM("a")
	f.order()
	f.vms[0].Replace(f.table.batch())
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.recordOutcomes(0, 3, outcome("v2", 0, true))
	f.advance(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Reverted))
	f.Expect(f.state().Verdict.Seen).To(BeNumerically("==", 1))
	f.Expect(f.evidence("a").Seen.Answers.Requests).To(BeEquivalentTo(4))
}

// evidenceRow is the row with the observations of a VM.
type evidenceRow struct {
	Seen   shift.Observations          `json:"seen"`
	Routes map[string]shift.Comparison `json:"routes"`
}

func (f *fleet) evidence(vmID string) evidenceRow {
	var row evidenceRow
	f.Expect(json.Unmarshal(f.table.rows["evidence/s/"+vmID].Value, &row)).To(Succeed())
	return row
}

// Good answers are published too, but seldom.
func TestGoodAnswersArePublishedAtMostOnceASecond(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.order()
	f.advance(11 * time.Second)
	writes := f.table.writes
	for range 40 {
		f.recordOutcomes(0, 1, outcome("v2", usualGap, false))
		f.advance(100 * time.Millisecond)
	}
	f.Expect(f.evidence("a").Seen.Answers.Requests).To(BeNumerically(">", 25))
	f.Expect(f.table.writes - writes).To(BeNumerically("<=", 5))
}

// More answers of the new version come from another region than of the old one.
func TestAnswersFromAnotherRegionDoNotMakeVersionSlow(t *testing.T) {
	const usual, roundTrip = 15 * time.Millisecond, 60 * time.Millisecond
	f := newFleet(t, "a")
	f.order()
	f.advance(11 * time.Second)
	distant := plainAnswer("v2", usual+roundTrip)
	distant.NetworkLatency = roundTrip
	f.recordOutcomes(0, 60, plainAnswer("v1", usual))
	f.recordOutcomes(0, 20, distant)
	f.advance(time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Active))
}

// Once all VMs have published their requests, the slack of the bound raises the share of
// a service with few of them.
func TestSlackRaisesShareOfServiceWithFewRequests(t *testing.T) {
	firstShare := func(countedVMs int) float64 {
		f := newFleet(t, "a", "b", "c")
		f.order()
		f.advance(time.Second)
		for i := range f.vms {
			f.recordOutcomes(i, 20, outcome("v1", usualGap, false))
		}
		f.vms = f.vms[:countedVMs]
		f.advance(10 * time.Second)
		f.Expect(f.state().Step).To(Equal(1))
		return f.state().Share
	}
	NewWithT(t).Expect(firstShare(3)).To(BeNumerically(">", 1.5*firstShare(2)))
}

// A listing has the rows in the order of their keys, so that evidence comes before the state
// that it belongs to.
func TestEvidenceListedBeforeItsStateIsKept(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.order()
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.advance(11 * time.Second)
	f.recordOutcomes(0, 40, outcome("v1", usualGap, false))
	f.recordOutcomes(0, 25, outcome("v2", usualGap, false))
	f.advance(2 * time.Second)
	f.Expect(f.evidence("a").Seen.Answers.Requests).To(BeEquivalentTo(25))
	f.vms = nil
	f.addVM("b")
	f.vms[0].Replace(watch.Batch{
		Rows: slices.SortedFunc(maps.Values(f.table.rows), func(a, b watch.Row) int { return strings.Compare(a.Key, b.Key) }), At: f.table.revision,
	})
	f.table.log = nil
	f.advance(8 * time.Second)
	f.Expect(f.state().Phase).To(Equal(shift.Complete))
}

// The deadline counts from the order and not from when a VM got its turn to write.
func TestShiftStartsWhenOrderArrives(t *testing.T) {
	f := newFleet(t, "a")
	f.advance(time.Second)
	f.order()
	f.advance(2 * time.Second)
	f.Expect(f.state().Started).To(Equal(time.Second))
}
