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
	steps   = 4  // operations of one write that meet a fault
	noRival = -1 // no rival writes in between
)

// world is one write against a table whose operations meet the given faults,
// with a rival that writes before one of them.
type world struct {
	table *memory.Table
	prev  store.Version
	step  int
}

func newWorld(present bool) *world {
	w := &world{table: memory.NewTable()}
	if present {
		w.prev, _ = w.table.Insert(context.Background(), "k", []byte("old"))
	}
	return w
}

func (w *world) rival() {
	ctx := context.Background()
	row, err := w.table.Get(ctx, "k")
	if err != nil {
		_, _ = w.table.Insert(ctx, "k", []byte("rival"))
		return
	}
	_, _ = w.table.Update(ctx, "k", []byte("rival"), row.Version)
}

func (w *world) writer(plan []memory.Fault, rivalAt int) settle.Writer {
	return settle.Writer{Table: w.table.Client(func(context.Context, memory.Op, string) memory.Fault {
		if w.step == rivalAt {
			w.rival()
		}
		w.step++
		if w.step > len(plan) {
			return memory.None
		}
		return plan[w.step-1]
	})}
}

// value returns the row's value, empty if there is no row.
func (w *world) value() string {
	row, _ := w.table.Get(context.Background(), "k")
	return string(row.Value)
}

type operation struct {
	name    string
	present bool   // the row exists beforehand
	effect  string // the value after the effect
	do      func(settle.Writer, store.Version) error
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

// each calls f with every sequence of faults of the given length.
func each(length int, f func([]memory.Fault)) {
	if length == 0 {
		f(nil)
		return
	}
	each(length-1, func(head []memory.Fault) {
		for _, fault := range faults {
			f(append(head[:len(head):len(head)], fault))
		}
	})
}

// violation runs one case and tells how the reply belies the table.
func violation(op operation, plan []memory.Fault, rivalAt int) string {
	w := newWorld(op.present)
	err := op.do(w.writer(plan, rivalAt), w.prev)
	before := w.value()
	w.table.Deliver()
	after := w.value()
	switch {
	case err == nil && after != op.effect:
		return "reported done, not found"
	case errorx.IsOfType(err, store.ErrUnavailable) && (before == op.effect || after == op.effect):
		return "reported unavailable, found done"
	case (errorx.IsOfType(err, store.ErrExists) || errorx.IsOfType(err, store.ErrConflict)) && after == op.effect:
		return "reported refused, found done"
	case rivalAt == noRival && (errorx.IsOfType(err, store.ErrExists) || errorx.IsOfType(err, store.ErrConflict)):
		return "reported refused without a rival"
	}
	return ""
}

var _ = Describe("Writer", func() {
	for _, op := range operations {
		It("never reports an outcome of "+op.name+" that the table belies", func() {
			each(steps, func(plan []memory.Fault) {
				for rivalAt := noRival; rivalAt <= steps; rivalAt++ {
					if v := violation(op, plan, rivalAt); v != "" {
						Fail(fmt.Sprintf("faults %v, rival before operation %d: %s", plan, rivalAt, v))
					}
				}
			})
		})
	}

	It("settles a write after one lost message and reports the row of a rival", func() {
		for _, op := range operations {
			for _, fault := range faults[2:] {
				w := newWorld(op.present)
				Expect(op.do(w.writer([]memory.Fault{fault}, noRival), w.prev)).To(Succeed(), "%s, fault %d", op.name, fault)
			}
		}
		w := newWorld(false)
		row, err := w.writer(nil, 0).Insert(context.Background(), "k", []byte("new"))
		Expect(errorx.IsOfType(err, store.ErrExists)).To(BeTrue())
		Expect(string(row.Value)).To(Equal("rival"))
	})
})
