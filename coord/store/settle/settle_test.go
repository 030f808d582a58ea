package settle_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/coord/store/memory"
	"github.com/poplarshore/poplarshore/coord/store/settle"
)

func TestSettle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settle")
}

var faults = []memory.Fault{
	memory.None, memory.Down, memory.ReplyLost, memory.RequestLost, memory.Late, memory.Twice,
}

const (
	faultySteps       = 4  // number of first operations of one write that get a fault
	noConcurrentWrite = -1 // value of concurrentWriteAt for no concurrent write
)

// scenario is one write to a table whose operations get the given faults, with another
// client that writes concurrently, before one of them.
type scenario struct {
	table *memory.Table
	prev  store.Version
	step  int
}

// newScenario returns a scenario with an empty table, or with a row if rowExists.
func newScenario(rowExists bool) *scenario {
	s := &scenario{table: memory.NewTable()}
	if rowExists {
		s.prev, _ = s.table.Insert(context.Background(), "k", []byte("old"))
	}
	return s
}

// writeConcurrently inserts the row, or updates it at its current version.
func (s *scenario) writeConcurrently() {
	ctx := context.Background()
	row, err := s.table.Get(ctx, "k")
	if err != nil {
		_, _ = s.table.Insert(ctx, "k", []byte("rival"))
		return
	}
	_, _ = s.table.Update(ctx, "k", []byte("rival"), row.Version)
}

// writer returns a Writer whose operations get the faults in order. The other client
// writes before operation concurrentWriteAt, counted from 0.
func (s *scenario) writer(faultSequence []memory.Fault, concurrentWriteAt int) settle.Writer {
	return settle.Writer{Table: s.table.Client(func(context.Context, memory.Op, string) memory.Fault {
		if s.step == concurrentWriteAt {
			s.writeConcurrently()
		}
		s.step++
		if s.step > len(faultSequence) {
			return memory.None
		}
		return faultSequence[s.step-1]
	})}
}

// value returns the value of the row, or an empty string if there is no row.
func (s *scenario) value() string {
	row, _ := s.table.Get(context.Background(), "k")
	return string(row.Value)
}

// operation is one kind of write.
type operation struct {
	name      string
	rowExists bool   // the row exists before the write
	wantValue string // the value if the write took effect
	run       func(settle.Writer, store.Version) error
}

var operations = []operation{
	{"insert", false, "new", func(w settle.Writer, _ store.Version) error {
		_, err := w.Insert(context.Background(), "k", []byte("new"))
		return err
	}},
	{"update", true, "new", func(w settle.Writer, prev store.Version) error {
		_, err := w.Update(context.Background(), "k", []byte("new"), prev)
		return err
	}},
	{"delete", true, "", func(w settle.Writer, prev store.Version) error {
		return w.Delete(context.Background(), "k", prev)
	}},
}

// forEachFaultSequence calls f with every sequence of faults of the given length.
func forEachFaultSequence(length int, f func([]memory.Fault)) {
	if length == 0 {
		f(nil)
		return
	}
	forEachFaultSequence(length-1, func(head []memory.Fault) {
		for _, fault := range faults {
			f(append(head[:len(head):len(head)], fault))
		}
	})
}

// violation runs one case and describes how the reply contradicts the table, or returns
// an empty string.
func violation(op operation, faultSequence []memory.Fault, concurrentWriteAt int) string {
	s := newScenario(op.rowExists)
	err := op.run(s.writer(faultSequence, concurrentWriteAt), s.prev)
	before := s.value()
	s.table.Deliver()
	after := s.value()
	switch {
	case err == nil && after != op.wantValue:
		return "reported as applied, but not in the table"
	case errorx.IsOfType(err, store.ErrUnavailable) && (before == op.wantValue || after == op.wantValue):
		return "reported as unavailable, but in the table"
	case (errorx.IsOfType(err, store.ErrExists) || errorx.IsOfType(err, store.ErrConflict)) && after == op.wantValue:
		return "reported as refused, but in the table"
	case concurrentWriteAt == noConcurrentWrite &&
		(errorx.IsOfType(err, store.ErrExists) || errorx.IsOfType(err, store.ErrConflict)):
		return "reported as refused without a concurrent write"
	}
	return ""
}

var _ = Describe("Writer", func() {
	for _, op := range operations {
		It("never reports an outcome of "+op.name+" that contradicts the table", func() {
			forEachFaultSequence(faultySteps, func(faultSequence []memory.Fault) {
				for concurrentWriteAt := noConcurrentWrite; concurrentWriteAt <= faultySteps; concurrentWriteAt++ {
					if v := violation(op, faultSequence, concurrentWriteAt); v != "" {
						Fail(fmt.Sprintf("faults %v, concurrent write before operation %d: %s",
							faultSequence, concurrentWriteAt, v))
					}
				}
			})
		})
	}

	It("succeeds after one lost, delayed or duplicated message and returns the row of a concurrent insert", func() {
		for _, op := range operations {
			for _, fault := range faults[2:] {
				s := newScenario(op.rowExists)
				Expect(op.run(s.writer([]memory.Fault{fault}, noConcurrentWrite), s.prev)).To(Succeed(),
					"%s, fault %d", op.name, fault)
			}
		}
		s := newScenario(false)
		row, err := s.writer(nil, 0).Insert(context.Background(), "k", []byte("new"))
		Expect(errorx.IsOfType(err, store.ErrExists)).To(BeTrue())
		Expect(string(row.Value)).To(Equal("rival"))
	})
})
