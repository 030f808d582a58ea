package entryd_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/standin/caller"
	"github.com/poplarshore/poplarshore/standin/environment"
)

// benchmarkChat measures one caller that asks without pause. Compare with the
// engine asked directly, which BenchmarkDirect does.
func benchmarkChat(b *testing.B, stream, direct bool) {
	e, err := environment.Start(context.Background(), environment.Options{
		Document: examples.Quickstart, VMs: []environment.VM{{ID: "vm-1", Domain: "local-1"}},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	c := &caller.Caller{Address: e.VM("vm-1").CallersAddress(), Key: demoKey, Client: &http.Client{Transport: &http.Transport{}}}
	name := "strong"
	if direct {
		c.Address = e.Addresses["strong-1"][len("http://"):]
		name = "strong@v1"
	}
	for b.Loop() {
		a, err := c.Chat(context.Background(), caller.Ask(name, "a traffic plan", stream), nil)
		if err != nil || !a.Whole {
			b.Fatal(err, a.Status, string(a.Body))
		}
	}
}

func BenchmarkWhole(b *testing.B)        { benchmarkChat(b, false, false) }
func BenchmarkWholeDirect(b *testing.B)  { benchmarkChat(b, false, true) }
func BenchmarkStream(b *testing.B)       { benchmarkChat(b, true, false) }
func BenchmarkStreamDirect(b *testing.B) { benchmarkChat(b, true, true) }
