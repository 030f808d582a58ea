package routing_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/routing"
)

// TestCounterpartIsFoundByNameBeforeHostAndPrefix guards against a request in progress that is
// held to the regions of another route which now takes its path.
func TestCounterpartIsFoundByNameBeforeHostAndPrefix(t *testing.T) {
	g := NewWithT(t)
	table := routing.Compile(routing.Config{Routes: []routing.Route{
		{Name: "a", Host: "h", Prefix: "/moved/"}, {Name: "a", Host: "other", Prefix: "/a/"}, {Name: "b", Host: "h", Prefix: "/a/"},
	}, Accounts: []routing.Account{{ID: "x", Priority: 3}}})
	g.Expect(table.Counterpart(&routing.Route{Name: "a", Host: "h", Prefix: "/a/"}).Prefix).To(Equal("/moved/"))
	g.Expect(table.Counterpart(&routing.Route{Name: "a", Host: "other", Prefix: "/a/"}).Host).To(Equal("other"))
	g.Expect(table.Counterpart(&routing.Route{Name: "c", Host: "h", Prefix: "/a/"})).To(BeNil())
	g.Expect(table.AccountByID("x").Priority).To(Equal(3))
	g.Expect(table.AccountByID("y")).To(BeNil())
}
