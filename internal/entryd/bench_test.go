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

// benchmarkChat measures one caller that sends requests back to back, through the
// entry or, if direct, to the engine. Through the entry, the end of an answer also
// waits for the commit of its billing record. tokens is the request's max_tokens; 0
// sets none.
func benchmarkChat(b *testing.B, stream, direct bool, tokens int) {
	e, err := environment.Start(context.Background(), environment.Options{
		Document: examples.Quickstart, VMs: []environment.VM{{ID: "vm-1", Domain: "local-1"}},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	c := &caller.Caller{Address: e.VM("vm-1").CallersAddress(), Key: demoKey, Client: &http.Client{Transport: &http.Transport{}}}
	modelName := "strong"
	if direct {
		c.Address = e.Addresses["strong-1"][len("http://"):]
		modelName = "strong@v1"
	}
	var startedAt time.Time
	var totalTimeToFirstPiece time.Duration
	c.OnPiece = func(pieces int) {
		if pieces == 1 {
			totalTimeToFirstPiece += time.Since(startedAt)
		}
	}
	for b.Loop() {
		startedAt = time.Now()
		request := caller.NewRequest(modelName, "a traffic plan", stream)
		request.MaxTokens = tokens
		a, err := c.Chat(context.Background(), request, nil)
		if err != nil || !a.Complete {
			b.Fatal(err, a.Status, string(a.Body))
		}
	}
	b.ReportMetric(float64(totalTimeToFirstPiece.Microseconds())/float64(b.N), "µs-to-first-piece")
}

func BenchmarkNonStreaming(b *testing.B)       { benchmarkChat(b, false, false, 0) }
func BenchmarkNonStreamingDirect(b *testing.B) { benchmarkChat(b, false, true, 0) }
func BenchmarkStreaming(b *testing.B)          { benchmarkChat(b, true, false, 0) }
func BenchmarkStreamingDirect(b *testing.B)    { benchmarkChat(b, true, true, 0) }
func BenchmarkOneToken(b *testing.B)           { benchmarkChat(b, true, false, 1) }
func BenchmarkOneTokenDirect(b *testing.B)     { benchmarkChat(b, true, true, 1) }
