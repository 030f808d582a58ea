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

	It("calls Apply before the node reports the revision as installed", func() {
		var node *revision.Node
		var numbers []uint64
		node = revision.NewNode(revision.Options{ID: "a", Apply: func(r revision.Revision, _ []byte) error {
			current, _ := node.Current()
			numbers = append(numbers, current.Number, r.Number)
			return nil
		}})
		Expect(node.Install(rev(1, "one"), []byte("one"))).To(BeTrue())
		Expect(node.Install(rev(3, "three"), []byte("three"))).To(BeTrue())
		Expect(node.Install(rev(2, "two"), []byte("two"))).To(BeFalse())
		Expect(numbers).To(Equal([]uint64{0, 1, 1, 3}))
	})

	It("does not install a revision if Apply fails", func() {
		node := revision.NewNode(revision.Options{ID: "a", Apply: func(revision.Revision, []byte) error {
			return errors.ErrUnsupported
		}})
		Expect(node.Install(rev(1, "one"), []byte("one"))).To(BeFalse())
		current, _ := node.Current()
		Expect(current.Number).To(BeZero())
	})
})
