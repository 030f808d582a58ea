package entryd_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/standin/caller"
	"github.com/poplarshore/poplarshore/standin/environment"
)

// benchmarkChat measures one caller that asks without pause, through the entry
// or of the engine directly. The end of an answer waits for its billing record.
func benchmarkChat(b *testing.B, stream, direct bool, tokens int) {
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
	var began time.Time
	var first time.Duration
	c.OnPiece = func(pieces int) {
		if pieces == 1 {
			first += time.Since(began)
		}
	}
	for b.Loop() {
		began = time.Now()
		request := caller.NewRequest(name, "a traffic plan", stream)
		request.MaxTokens = tokens
		a, err := c.Chat(context.Background(), request, nil)
		if err != nil || !a.Complete {
			b.Fatal(err, a.Status, string(a.Body))
		}
	}
	b.ReportMetric(float64(first.Microseconds())/float64(b.N), "µs-to-first-piece")
}

func BenchmarkWhole(b *testing.B)          { benchmarkChat(b, false, false, 0) }
func BenchmarkWholeDirect(b *testing.B)    { benchmarkChat(b, false, true, 0) }
func BenchmarkStream(b *testing.B)         { benchmarkChat(b, true, false, 0) }
func BenchmarkStreamDirect(b *testing.B)   { benchmarkChat(b, true, true, 0) }
func BenchmarkOneToken(b *testing.B)       { benchmarkChat(b, true, false, 1) }
func BenchmarkOneTokenDirect(b *testing.B) { benchmarkChat(b, true, true, 1) }
