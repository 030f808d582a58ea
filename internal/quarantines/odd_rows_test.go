package quarantines_test

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/quarantine"
)

// oddRows are values of the row of quarantines that no VM writes.
var oddRows = []string{
	``, `{`, `null`, `7`, `{"entries":7}`, `{"entries":[7]}`, strings.Repeat("[", 20_000), `{"entries":[{}]}`,
	`{"entries":[{"key":"part-1","since":9223372036854775807}]}`, `{"entries":[{"key":"part-1","since":-9223372036854775808}]}`,
	`{"entries":[{"key":"part-1","since":1e400}]}`, `{"entries":[{"key":"part-1","since":5,"probes":-3}]}`,
	`{"entries":[{"key":"part-1","since":5,"probes":9000000000000000000}]}`,
	`{"entries":[{"key":"part-1","since":5,"lifted_at":9223372036854775807}]}`,
	`{"entries":[{"key":"part-1","since":5,"evidence":[{"at":9223372036854775807}]}]}`,
}

// overwrite replaces the row as another writer does; an empty key deletes it.
func (f *fleet) overwrite(value string, deleted bool) {
	f.table.row = watch.Row{Key: "quarantine", Value: []byte(value), Revision: f.table.row.Revision + 1, Deleted: deleted}
	for _, g := range f.guards {
		g.Change(f.table.listing())
	}
	if deleted {
		f.table.row = watch.Row{}
	}
}

// TestRowOfQuarantinesIsWrittenAgainAfterOddOne guards against quarantines that are never stored again, as
// each write expects the revision before the odd row, so that VMs that start don't know them.
func TestRowOfQuarantinesIsWrittenAgainAfterOddOne(t *testing.T) {
	for _, deleted := range []bool{false, true} {
		for _, odd := range oddRows {
			f := newFleet(t, 2)
			for range 3 {
				f.crash(0, "bad")
			}
			f.pass(3 * time.Second)
			f.Expect(f.isExcluded(1, "bad")).To(BeTrue())
			f.overwrite(odd, deleted)
			f.Expect(f.isExcluded(0, "bad")).To(BeTrue(), "%.60s", odd)
			f.pass(5 * time.Second)
			f.addVM()
			f.Expect(f.isExcluded(2, "bad")).To(BeTrue(), "%.60s", odd)
			f.Expect(f.guards[0].Entries()).To(HaveLen(1), "%.60s", odd)
		}
	}
}

// TestEvidenceFromTheFutureIsIgnored guards against a message that clears a request of all crashes to come,
// or is remembered for good.
func TestEvidenceFromTheFutureIsIgnored(t *testing.T) {
	for _, at := range []time.Duration{math.MaxInt64, math.MinInt64, 100 * time.Hour} {
		f := newFleet(t, 2)
		for _, g := range f.guards {
			g.Receive(quarantines.Message{
				Sound:   []quarantines.Sound{{Key: f.keys("bad")[0], At: at}},
				Alive:   []quarantines.Alive{{Incarnation: quarantine.Incarnation{Upstream: "e-1"}, At: at}},
				Crashes: []quarantine.Crash{{Incarnation: quarantine.Incarnation{Upstream: "e-9"}, At: at}},
				Spread:  quarantines.Spread{Region: true},
			})
		}
		for range 3 {
			f.crash(0, "bad")
		}
		f.pass(3 * time.Second)
		f.Expect(f.isExcluded(1, "bad")).To(BeTrue(), at.String())
	}
}

// FuzzRowAndMessage guards against rows and messages that end the process.
func FuzzRowAndMessage(f *testing.F) {
	for _, odd := range oddRows {
		f.Add([]byte(odd), []byte(`{"entries":[{"key":"part-1","since":9223372036854775807}]}`))
	}
	f.Add([]byte(`{"entries":[{"key":"part-1","since":5,"evidence":[{"upstream":"e","at":4}]}]}`),
		[]byte(`{"crashes":[{"upstream":"e","born":-1,"at":3600000000000,"suspects":[{"keys":["part-1"]}]}],"sound":[{"key":"part-1","at":1}],"alive":[{"upstream":"e","at":2}],"for_all":true,"spread":{"region":true,"groups":-1}}`))
	f.Fuzz(func(t *testing.T, row, message []byte) {
		fleet := newFleet(t, 2)
		fleet.overwrite(string(row), false)
		var m quarantines.Message
		if json.Unmarshal(message, &m) == nil {
			fleet.guards[0].Receive(m)
		}
		fleet.crash(0, "bad")
		fleet.pass(2 * time.Second)
		fleet.isExcluded(0, "bad")
		for _, g := range fleet.guards {
			for _, e := range g.Entries() {
				if err := e.Check(); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}
