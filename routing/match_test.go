package routing_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/routing"
)

// TestMatchComparesPathAsItIsSent guards against a request that is handled as one of another route than its
// upstream takes it for, and against prefixes that no target can have.
func TestMatchComparesPathAsItIsSent(t *testing.T) {
	g := NewWithT(t)
	table := routing.Compile(routing.Config{Routes: []routing.Route{
		{Name: "short", Host: "h", Prefix: "/permits/"}, {Name: "long", Host: "h", Prefix: "/permits/A/"},
		{Name: "accent", Host: "h", Prefix: "/d\u00edas/"},
	}})
	for path, want := range map[string]string{
		"/permits/A/1": "long", "/permits/A%2F1": "short", "/permits/%41/1": "short", "/permits//A/1": "short",
		"/d\u00edas/1": "accent", "/d%C3%ADas/1": "accent", "/d%c3%adas/1": "accent",
	} {
		g.Expect(table.Match("h", path)).To(HaveField("Name", want), path)
	}
	for _, path := range []string{"/%70ermits/1", "/permits%2F1", "//permits/1", "/permits"} {
		g.Expect(table.Match("h", path)).To(BeNil(), path)
	}
}

// BenchmarkMatch measures the look-up of a route among the routes of one host.
func BenchmarkMatch(b *testing.B) {
	var config routing.Config
	for i := range 100 {
		config.Routes = append(config.Routes, routing.Route{Name: "r", Host: "site.example", Prefix: fmt.Sprintf("/route-%d/", i)})
	}
	table := routing.Compile(config)
	for b.Loop() {
		if table.Match("site.example:80", "/route-0/x") == nil {
			b.Fatal("no route")
		}
	}
}
