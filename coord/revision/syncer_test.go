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
	"github.com/poplarshore/poplarshore/internal/bubble"
)

var _ = Describe("A running group of nodes", func() {
	It("installs a change on all nodes and returns when its context ends", func() {
		bubble.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(0)
			c.ids = []revision.NodeID{"a", "b", "c"}
			ctx, cancel := context.WithCancel(context.Background())
			for _, id := range c.ids {
				c.startWithClock(id, clockwork.NewRealClock())
			}
			for _, id := range c.ids {
				go c.members[id].syncer.Run(ctx)
			}
			_, err := revision.NewPublisher(revision.PublisherOptions{
				Table: c.table, Objects: c.objects, Prefix: prefix,
				Node: c.members["a"].node, Announcer: c.members["a"].syncer,
			}).Propose(ctx, 0, []byte("x"), "op", "ana")
			g.Expect(err).NotTo(HaveOccurred())
			<-time.After(5 * time.Second)
			g.Expect(c.installedCount(1)).To(Equal(3))
			g.Expect(c.freshCount()).To(Equal(3))
			cancel()
			synctest.Wait()
		})
	})
})
