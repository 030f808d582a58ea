package entrycost

import (
	"context"
	"fmt"
	"sync"

	"github.com/poplarshore/poplarshore/measure/caller"
	"github.com/poplarshore/poplarshore/measure/meter"
)

// Memory is the result of MeasureMemory, in bytes per open stream.
type Memory struct {
	Streams int `json:"streams"`
	// Direct is what a stream to the engine holds: the caller and the engine.
	Direct float64 `json:"direct_bytes"`
	// Entry is what a stream through the entry holds: caller, entry and engine.
	Entry float64 `json:"entry_bytes"`
	// Adds is the entry's part.
	Adds float64 `json:"adds_bytes"`
	// Failed is the number of streams that could not be opened.
	Failed int `json:"failed"`
}

// MeasureMemory opens a number of streams that stay open, first directly and
// then through the entry, all in this process, and compares the memory held.
// The engine has to be slow enough for all streams to be open at once.
func MeasureMemory(ctx context.Context, t Target, streams int) Memory {
	m := Memory{Streams: streams}
	var failed int
	direct := make([]string, len(t.models()))
	for i, name := range t.models() {
		direct[i] = name + "@" + t.Version.Version
	}
	m.Direct, failed = holdStreams(ctx, t.EngineURL, "", direct, streams)
	m.Failed += failed
	m.Entry, failed = holdStreams(ctx, t.EntryURL, t.Key, t.models(), streams)
	m.Failed += failed
	m.Adds = m.Entry - m.Direct
	return m
}

// models returns the models to spread streams over.
func (t Target) models() []string {
	if len(t.Models) == 0 {
		return []string{t.Model}
	}
	return t.Models
}

// holdStreams returns the memory held per stream once each has its first event.
func holdStreams(ctx context.Context, url, key string, models []string, streams int) (float64, int) {
	ctx, cancel := context.WithCancel(ctx)
	client := caller.New(url, key)
	before := meter.Memory()
	opened := make(chan bool, 2*streams)
	var callers sync.WaitGroup
	for i := range streams {
		callers.Go(func() {
			question := caller.Question{Model: models[i%len(models)], Prompt: fmt.Sprintf("held %d", i), Stream: true}
			question.FirstEvent = func() { opened <- true }
			_, _ = client.Ask(ctx, question)
			opened <- false
		})
	}
	failed := 0
	for range streams {
		if !<-opened {
			failed++
		}
	}
	after := meter.Memory()
	cancel()
	callers.Wait()
	client.Close()
	return (float64(after) - float64(before)) / float64(streams), failed
}
