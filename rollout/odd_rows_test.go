package rollout_test

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/rollout"
)

// Guards against rows of another program that decide on a roll-out: counts that overflow or
// are negative, and generations after which no sound row is installed any more.
func TestOddRowsOfRolloutsAreRejected(t *testing.T) {
	for _, src := range []string{
		``, `{}`, `null`, `[]`, `{"vm":""}`, `{"vm":"a","fresh":{"requests":-1}}`, `{"vm":"a","fresh":{"requests":9223372036854775807}}`,
		`{"vm":"a","old":{"errors":-5}}`, `{"vm":"a","old":{"rating_sum":1e308}}`, `{"vm":"a","fresh":{"rating_sum":-1e308}}`,
		`{"vm":"a","generation":18446744073709551615}`, `{"vm":"a","fresh":{"requests":1e30}}`, strings.Repeat("[", 20_000),
	} {
		if r, err := rollout.DecodeReport([]byte(src)); err == nil {
			t.Errorf("report %.60q accepted: %+v", src, r)
		}
	}
	for _, src := range []string{
		`{"id":"r","phase":"running","generation":18446744073709551615}`,
		`{"id":"r","phase":"running","generation":2,"step_generation":3}`,
		`{"id":"r","phase":"running","generation":2,"step":-1}`,
		`{"id":"r","phase":"running","generation":2,"baseline":{"requests":-1}}`,
		`{"id":"r","phase":"running","generation":2,"baseline":{"rating_sum":1e308}}`,
	} {
		if p, err := rollout.DecodeProgress([]byte(src)); err == nil {
			t.Errorf("progress %.60q accepted: %+v", src, p)
		}
	}
}

// Guards against a report of this program that it rejects itself.
func TestReportIsUnchangedAfterEncodingAndDecoding(t *testing.T) {
	r := rollout.Report{VM: "a", Domain: "d", At: start, Generation: 3, NewCounts: healthyCounts(500), OldCounts: healthyCounts(5000), Stopped: true}
	encoded, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := rollout.DecodeReport(encoded)
	if err != nil || !decoded.At.Equal(r.At) || decoded.NewCounts != r.NewCounts || decoded.OldCounts != r.OldCounts || decoded.VM != r.VM {
		t.Errorf("%+v, %v", decoded, err)
	}
}

// FuzzDecide guards against rows that end the process that decides on roll-outs.
func FuzzDecide(f *testing.F) {
	f.Add([]byte(`{"id":"r","phase":"running","generation":2,"step":9,"since":"0001-01-01T00:00:00Z"}`),
		[]byte(`{"vm":"a","domain":"a","generation":2,"fresh":{"requests":1099511627776,"slow":1},"at":"9999-12-31T23:59:59Z"}`))
	f.Add([]byte(`{"id":"r","phase":"done","generation":2,"step_generation":1,"stopped":["a",""]}`),
		[]byte(`{"vm":"a","domain":"b","fresh":{"errors":7,"low":9,"rating_sum":3},"stopped":true,"verdict":{"bad":true}}`))
	f.Fuzz(func(t *testing.T, progress, report []byte) {
		row, err := rollout.DecodeProgress(progress)
		if err != nil {
			t.Skip()
		}
		var reports []rollout.Report
		if r, err := rollout.DecodeReport(report); err == nil {
			reports = append(reports, r, r)
		}
		now := start.Add(time.Hour)
		watch, deltas := rollout.NewWatch(rollout.WatchOptions{}), rollout.NewDeltas()
		verdict := watch.Observe(deltas.Added(reports, func(r rollout.Report) rollout.Counts { return r.NewCounts }))
		decision := rollout.Decide(rollout.Input{
			Plan: plan(), Row: row, Domains: []domain.ID{"a", "b"}, Reports: rollout.ReconcileReports(reports, nil, now),
			WatchVerdict: verdict, Now: now,
		}, rollout.Options{})
		if math.IsNaN(decision.Row.Verdict.Seen) {
			t.Fatalf("verdict on no number: %+v", decision)
		}
		if _, err := decision.Row.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}
