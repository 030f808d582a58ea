package entrycost

import (
	"context"
	"fmt"
	"sync"

	"github.com/poplarshore/poplarshore/measure/caller"
	"github.com/poplarshore/poplarshore/measure/meter"
)

// StreamMemory is the result of MeasureMemory, in bytes per open stream.
type StreamMemory struct {
	Streams int `json:"streams"`
	// Direct is the memory of a direct stream, in the caller and the engine.
	Direct float64 `json:"direct_bytes"`
	// Entry is the memory of a stream through the entry, in the caller, the entry
	// and the engine.
	Entry float64 `json:"entry_bytes"`
	// Overhead is the memory in the entry, the difference of both.
	Overhead float64 `json:"adds_bytes"`
	// Failed is the number of streams that could not be opened.
	Failed int `json:"failed"`
}

// MeasureMemory opens a number of streams, first directly and then through the
// entry, and compares the memory in use while they are open. Callers, entry and
// engine must run in this process, and the engine must be slow enough for all
// streams to be open at the same time.
func MeasureMemory(ctx context.Context, t Target, streams int) StreamMemory {
	m := StreamMemory{Streams: streams}
	var failed int
	direct := make([]string, len(t.streamModels()))
	for i, name := range t.streamModels() {
		direct[i] = name + "@" + t.Version.Version
	}
	m.Direct, failed = memoryPerStream(ctx, t.EngineURL, "", direct, streams)
	m.Failed += failed
	m.Entry, failed = memoryPerStream(ctx, t.EntryURL, t.Key, t.streamModels(), streams)
	m.Failed += failed
	m.Overhead = m.Entry - m.Direct
	return m
}

// streamModels returns the models over which streams are distributed.
func (t Target) streamModels() []string {
	if len(t.Models) == 0 {
		return []string{t.Model}
	}
	return t.Models
}

// memoryPerStream returns the memory in use per stream once each has received its
// first event, and the number of streams that failed before that.
func memoryPerStream(ctx context.Context, url, key string, models []string, streams int) (float64, int) {
	ctx, cancel := context.WithCancel(ctx)
	client := caller.New(url, key)
	before := meter.HeapAndStacks()
	opened := make(chan bool, 2*streams)
	var callers sync.WaitGroup
	for i := range streams {
		callers.Go(func() {
			request := caller.Request{Model: models[i%len(models)], Prompt: fmt.Sprintf("held %d", i), Stream: true}
			request.OnFirstEvent = func() { opened <- true }
			_, _ = client.Complete(ctx, request)
			opened <- false
		})
	}
	failed := 0
	for range streams {
		if !<-opened {
			failed++
		}
	}
	after := meter.HeapAndStacks()
	cancel()
	callers.Wait()
	client.Close()
	return (float64(after) - float64(before)) / float64(streams), failed
}
