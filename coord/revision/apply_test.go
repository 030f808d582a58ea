package revision_test

import (
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/revision"
)

var _ = Describe("Node.Apply", func() {
	rev := func(number uint64, body string) revision.Revision {
		return revision.Revision{Number: number, Hash: revision.HashOf([]byte(body))}
	}

	It("puts a revision in force before the node counts it as installed", func() {
		var node *revision.Node
		var during []uint64
		node = revision.NewNode(revision.Options{ID: "a", Apply: func(r revision.Revision, _ []byte) error {
			current, _ := node.Current()
			during = append(during, current.Number, r.Number)
			return nil
		}})
		Expect(node.Install(rev(1, "one"), []byte("one"))).To(BeTrue())
		Expect(node.Install(rev(3, "three"), []byte("three"))).To(BeTrue())
		Expect(node.Install(rev(2, "two"), []byte("two"))).To(BeFalse())
		Expect(during).To(Equal([]uint64{0, 1, 1, 3}))
	})

	It("does not install what can't be put in force", func() {
		node := revision.NewNode(revision.Options{ID: "a", Apply: func(revision.Revision, []byte) error {
			return errors.ErrUnsupported
		}})
		Expect(node.Install(rev(1, "one"), []byte("one"))).To(BeFalse())
		current, _ := node.Current()
		Expect(current.Number).To(BeZero())
	})
})
