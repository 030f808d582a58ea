package revision_test

import (
	"context"
	"fmt"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

// faultOnNth injects the fault into the nth operation of the kind, counted from 1.
func faultOnNth(kind memory.Op, nth int, fault memory.Fault) memory.Injector {
	seen := 0
	return func(_ context.Context, op memory.Op, _ string) memory.Fault {
		if op == kind {
			seen++
			if seen == nth {
				return fault
			}
		}
		return memory.None
	}
}

// faultOnEvery injects the fault into every operation.
func faultOnEvery(fault memory.Fault) memory.Injector {
	return func(context.Context, memory.Op, string) memory.Fault { return fault }
}

var _ = Describe("Publisher", func() {
	var (
		ctx     = context.Background()
		table   *memory.Table
		objects *memory.Objects
		publish = func(base uint64, op string) (revision.Accepted, error) {
			p := revision.NewPublisher(revision.PublisherOptions{
				Table: table, Objects: objects, Prefix: prefix, InitialBackoff: 1, MaxAttempts: 3,
			})
			return p.Propose(ctx, base, []byte(op), op, "ana")
		}
	)
	BeforeEach(func() { table, objects = memory.NewTable(), memory.NewObjects() })

	DescribeTable("accepts a proposal exactly once if one store operation fails, is repeated or is delayed",
		func(op memory.Op, fault memory.Fault, onObjects bool) {
			if onObjects {
				objects.Faults = faultOnNth(op, 1, fault)
			} else {
				table.Faults = faultOnNth(op, 1, fault)
			}
			for base := range uint64(2) {
				accepted, err := publish(base, fmt.Sprint("op", base))
				Expect(err).NotTo(HaveOccurred())
				Expect(accepted.Revision.Number).To(Equal(base + 1))
				table.Deliver()
				accepted, err = publish(base, fmt.Sprint("op", base))
				Expect(err).NotTo(HaveOccurred())
				Expect(accepted.Repeated).To(BeTrue())
			}
		},
		Entry("body: down", memory.OpCreate, memory.Down, true),
		Entry("body: reply lost", memory.OpCreate, memory.ReplyLost, true),
		Entry("body: request lost", memory.OpCreate, memory.RequestLost, true),
		Entry("read: down", memory.OpGet, memory.Down, false),
		Entry("insert: down", memory.OpInsert, memory.Down, false),
		Entry("insert: reply lost", memory.OpInsert, memory.ReplyLost, false),
		Entry("insert: request lost", memory.OpInsert, memory.RequestLost, false),
		Entry("update: down", memory.OpUpdate, memory.Down, false),
		Entry("update: reply lost", memory.OpUpdate, memory.ReplyLost, false),
		Entry("update: request lost", memory.OpUpdate, memory.RequestLost, false),
		Entry("body: twice", memory.OpCreate, memory.Twice, true),
		Entry("insert: twice", memory.OpInsert, memory.Twice, false),
		Entry("insert: late", memory.OpInsert, memory.Late, false),
		Entry("update: twice", memory.OpUpdate, memory.Twice, false),
		Entry("update: late", memory.OpUpdate, memory.Late, false),
	)

	It("returns ErrUnknown if the rejection may be for the second copy of its write", func() {
		written := false
		table.Faults = func(_ context.Context, op memory.Op, _ string) memory.Fault {
			if written {
				return memory.Down
			}
			written = op == memory.OpInsert
			return memory.Twice
		}
		_, err := publish(0, "a")
		Expect(errorx.IsOfType(err, revision.ErrUnknown)).To(BeTrue(), "%v", err)
	})

	It("returns the earlier outcome of a proposal whose reply was lost, after later revisions", func() {
		written := false
		table.Faults = func(_ context.Context, op memory.Op, _ string) memory.Fault {
			switch {
			case op == memory.OpInsert:
				written = true
				return memory.ReplyLost
			case written:
				return memory.Down
			}
			return memory.None
		}
		_, err := publish(0, "first")
		Expect(errorx.IsOfType(err, revision.ErrUnknown)).To(BeTrue(), "%v", err)
		table.Faults = nil
		for base := uint64(1); base < 5; base++ {
			_, err = publish(base, fmt.Sprint("later", base))
			Expect(err).NotTo(HaveOccurred())
		}
		accepted, err := publish(0, "first")
		Expect(err).NotTo(HaveOccurred())
		Expect(accepted).To(HaveField("Repeated", true))
		Expect(accepted.Revision.Number).To(BeEquivalentTo(1))
	})

	It("returns ErrUnknown if the head row no longer lists all operations after the base", func() {
		for base := range uint64(70) {
			_, err := publish(base, fmt.Sprint(base))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := publish(0, "old")
		Expect(errorx.IsOfType(err, revision.ErrUnknown)).To(BeTrue(), "%v", err)
		_, err = publish(60, "recent")
		Expect(errorx.IsOfType(err, revision.ErrConflict)).To(BeTrue(), "%v", err)
	})

	It("returns ErrUnavailable and writes nothing while the store is down", func() {
		table.Faults = faultOnEvery(memory.Down)
		_, err := publish(0, "a")
		Expect(errorx.IsOfType(err, revision.ErrUnavailable)).To(BeTrue())
		table.Faults = nil
		_, err = publish(0, "b")
		Expect(err).NotTo(HaveOccurred())
	})

	It("rejects an operation id that was used for another document", func() {
		_, err := publish(0, "a")
		Expect(err).NotTo(HaveOccurred())
		p := revision.NewPublisher(revision.PublisherOptions{Table: table, Objects: objects, Prefix: prefix})
		_, err = p.Propose(ctx, 1, []byte("other"), "a", "wei")
		Expect(errorx.IsOfType(err, revision.ErrInvalid)).To(BeTrue())
	})
})
