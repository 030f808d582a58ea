package memory_test

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

func TestMemory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "memory store")
}

// alwaysInject returns an injector that returns f for each operation.
func alwaysInject(f memory.Fault) memory.Injector {
	return func(context.Context, memory.Op, string) memory.Fault { return f }
}

var _ = Describe("Table", func() {
	var (
		ctx   = context.Background()
		table *memory.Table
	)
	BeforeEach(func() { table = memory.NewTable() })

	It("updates a row only at the expected version", func() {
		v1, err := table.Insert(ctx, "k", []byte("a"))
		Expect(err).NotTo(HaveOccurred())
		_, err = table.Update(ctx, "k", []byte("b"), v1)
		Expect(err).NotTo(HaveOccurred())
		_, err = table.Update(ctx, "k", []byte("c"), v1)
		Expect(errorx.IsOfType(err, store.ErrConflict)).To(BeTrue())
	})

	It("applies a write whose reply is lost and discards one whose request is lost", func() {
		table.Faults = alwaysInject(memory.ReplyLost)
		_, err := table.Insert(ctx, "kept", nil)
		Expect(errorx.IsOfType(err, store.ErrUnknown)).To(BeTrue())
		table.Faults = alwaysInject(memory.RequestLost)
		_, err = table.Insert(ctx, "lost", nil)
		Expect(errorx.IsOfType(err, store.ErrUnknown)).To(BeTrue())
		table.Faults = nil
		rows, err := table.Scan(ctx, "", "", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(1))
		Expect(rows[0].Key).To(Equal("kept"))
	})

	It("delays the writes of one client until Deliver", func() {
		delayed := table.Client(alwaysInject(memory.Late))
		_, err := delayed.Insert(ctx, "k", []byte("late"))
		Expect(errorx.IsOfType(err, store.ErrUnknown)).To(BeTrue())
		_, err = table.Get(ctx, "k")
		Expect(errorx.IsOfType(err, store.ErrNotFound)).To(BeTrue())
		table.Deliver()
		Expect(table.Get(ctx, "k")).To(HaveField("Value", []byte("late")))
	})
})

var _ = Describe("Objects", func() {
	It("rejects creation of an existing key and lists keys in order after a given key", func() {
		ctx := context.Background()
		objects := memory.NewObjects()
		for _, key := range []string{"p/2", "p/1", "q/1", "p/3"} {
			Expect(objects.Create(ctx, key, []byte(key))).To(Succeed())
		}
		err := objects.Create(ctx, "p/1", []byte("other"))
		Expect(errorx.IsOfType(err, store.ErrExists)).To(BeTrue())
		keys, err := objects.List(ctx, "p/", "p/1", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys).To(Equal([]string{"p/2"}))
	})
})
