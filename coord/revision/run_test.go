package revision_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/revision"
)

var _ = Describe("Spreader.Run", func() {
	It("has a change in force by its own duties and stops with its context", func() {
		synctest.Test(suite, func(t *testing.T) {
			g := NewWithT(t)
			m := newMesh(0)
			m.order = []revision.NodeID{"a", "b", "c"}
			ctx, cancel := context.WithCancel(context.Background())
			for _, id := range m.order {
				m.startOn(id, clockwork.NewRealClock())
			}
			for _, id := range m.order {
				go m.members[id].spreader.Run(ctx)
			}
			_, err := revision.NewPublisher(revision.PublisherOptions{
				Table: m.table, Objects: m.objects, Prefix: prefix,
				Node: m.members["a"].node, Announcer: m.members["a"].spreader,
			}).Propose(ctx, 0, []byte("x"), "op", "ana")
			g.Expect(err).NotTo(HaveOccurred())
			<-time.After(5 * time.Second)
			g.Expect(m.installed(1)).To(Equal(3))
			g.Expect(m.fresh()).To(Equal(3))
			cancel()
			synctest.Wait()
		})
	})
})
