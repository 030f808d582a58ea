package shifts_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/rollout/shift"
)

// oddStates are values of a state's row that no VM writes.
var oddStates = []string{
	``, `{`, `7`, `null`, strings.Repeat("[", 20_000),
	`{"order":{"id":1,"service":"s","to":"v2","duration":20000000000},"phase":"active","step":7}`,
	`{"order":{"id":1,"service":"s","to":"v2","duration":20000000000},"phase":"active","step":-7}`,
	`{"order":{"id":1,"service":"s","to":"v2","duration":20000000000},"phase":"active","step":1e400}`,
	`{"order":{"id":1,"service":"s","to":"v2","duration":20000000000},"phase":"odd","step":1}`,
	`{"order":{"id":1,"service":"s","to":"v2","duration":20000000000},"phase":"active","step":1,"share":-3}`,
	`{"order":{"id":1,"service":"s","to":"v2","duration":-9223372036854775808},"phase":"active"}`,
	`{"order":{"id":1,"service":"s","to":"v2","duration":20000000000},"phase":"active","started":9223372036854775807}`,
	`{"order":{"id":1,"service":"t","to":"v2","duration":20000000000},"phase":"complete","step":2}`,
	`{"order":{"id":9223372036854775807,"service":"s","to":"v9","duration":20000000000},"phase":"complete","step":2}`,
	`{"order":{"id":1,"era":9223372036854775807,"service":"s","to":"v9","duration":20000000000},"phase":"complete","step":2}`,
}

// write writes a row as another writer does.
func (t *table) write(key, value string) {
	t.revision++
	t.rows[key] = watch.Row{Key: key, Value: []byte(value), Revision: t.revision}
	t.log = append(t.log, t.rows[key])
}

// TestShiftGoesOnAfterOddState guards against processes that end on a state out of bounds, and against
// a roll-out that is never finished because its row can't be replaced.
func TestShiftGoesOnAfterOddState(t *testing.T) {
	for _, odd := range oddStates {
		for _, before := range []bool{true, false} {
			f := newFleet(t, "a", "b")
			if before {
				f.table.write("shift/s", odd)
				f.advance(time.Second)
			}
			f.order()
			f.advance(2 * time.Second)
			if !before {
				f.table.write("shift/s", odd)
				f.advance(2 * time.Second)
			}
			for _, m := range f.vms {
				f.Expect(m.Allowed("s", 0.99)("v1")).To(BeTrue(), "%.90s", odd)
			}
			state := f.state()
			f.Expect(state.Order.To).To(BeEquivalentTo("v2"), "%.90s", odd)
			f.Expect(state.Phase).To(Equal(shift.Active), "%.90s", odd)
		}
	}
}

// TestStateWhoseRowIsGoneIsWrittenAgain guards against a roll-out that is never finished, as each write expects
// a row that is no longer there, whether the VMs see the deletion or only a listing without the row.
func TestStateWhoseRowIsGoneIsWrittenAgain(t *testing.T) {
	for _, seen := range []bool{true, false} {
		f := newFleet(t, "a", "b")
		f.order()
		f.advance(2 * time.Second)
		f.table.revision++
		delete(f.table.rows, "shift/s")
		gone := watch.Batch{At: f.table.revision, Era: f.table.era}
		if seen {
			gone.Rows = []watch.Row{{Key: "shift/s", Revision: f.table.revision, Deleted: true}}
		}
		f.table.log = nil
		for _, m := range f.vms {
			if seen {
				m.Change(gone)
			} else {
				m.Replace(gone)
			}
		}
		f.advance(2 * time.Second)
		f.Expect(f.table.rows).To(HaveKey("shift/s"), "deletion seen: %v", seen)
		f.Expect(f.state().Phase).To(Equal(shift.Active))
	}
}

// TestOddEvidenceIsIgnored guards against counts of another writer that hide the failures of a bad
// version, or complete it.
func TestOddEvidenceIsIgnored(t *testing.T) {
	for _, odd := range []string{
		`{"order":1,"seen":{"answers":{"requests":-9223372036854775808}}}`,
		`{"order":1,"seen":{"answers":{"requests":9223372036854775807,"errors":-5}}}`,
		`{"order":1,"old":{"paced":{"slow":9223372036854775807}}}`,
		`{"order":1,"before":{"answers":{"requests":-1}}}`,
		`{"order":1,"overdue":-4}`, `{"order":1,"overdue":9223372036854775807}`, `{"order":"1"}`,
	} {
		f := newFleet(t, "a", "b")
		f.order()
		f.advance(11 * time.Second)
		f.table.write("evidence/s/odd", odd)
		f.advance(3 * time.Second)
		f.recordOutcomes(0, 30, outcome("v1", usualGap, false))
		f.recordOutcomes(0, 12, outcome("v2", usualGap, true))
		f.advance(2 * time.Second)
		f.Expect(f.state().Phase).To(Equal(shift.Reverted), odd)
	}
}

// FuzzRows guards against rows of the VMs' table that end the process.
func FuzzRows(f *testing.F) {
	for _, odd := range oddStates {
		f.Add("shift/s", []byte(odd))
		f.Add("shift/s/1", []byte(odd))
	}
	f.Add("evidence/s/b", []byte(`{"order":1,"seen":{"answers":{"requests":4,"errors":4}}}`))
	f.Add("shift/s/x", []byte(`{}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		fleet := newFleet(t, "a")
		fleet.order()
		fleet.advance(time.Second)
		fleet.table.write(key, string(value))
		m := fleet.vms[0]
		for range 4 {
			m.Change(fleet.table.batch())
			m.Allowed("s", 0.5)("v2")
			fleet.clock.Advance(5 * time.Second)
			m.Tick(context.Background())
		}
		var state shift.State
		row := fleet.table.rows["shift/s"]
		if err := json.Unmarshal(row.Value, &state); err != nil || state.Check() != nil {
			t.Fatalf("state was not written again: %.60q", row.Value)
		}
	})
}
