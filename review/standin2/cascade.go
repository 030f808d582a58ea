//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

// runCascade adds a route whose streams can't be resumed, and sends requests to it. Engines report a low confidence in the
// answers of the small model.
func runCascade(b *bed, trouble bool) (bool, error) {
	for _, zone := range zones {
		b.addEngine(&standin.Engine{
			ID: "model-" + zone, Service: "models", Zone: zone, Version: "v1", Capacity: 64,
			Behave: func(r *http.Request) standin.Behaviour {
				time.Sleep(30 * time.Millisecond)
				confidence := 90
				if r.Header.Get("X-Model") == "small" {
					confidence = 10
				}
				return standin.Behaviour{Events: 8, Gap: 20 * time.Millisecond, Confidence: confidence}
			},
		})
	}
	routes := []standin.Route{{
		Name: "draft", Host: host, Prefix: "/draft/", Kind: standin.KindStreaming, Service: "models", TimeoutMS: 20000, TargetLatencyMS: 2000,
		Sizes: []string{"small", "large"}, MaxAttempts: 3, Resumable: true,
	}}
	keys := map[string][]string{tenant: {clientKey}}
	b.store.put("op", "config", standin.Config(1, routes, keys))
	if err := b.addGateways(2); err != nil {
		return false, err
	}
	path := "/draft/2f"
	if trouble {
		added := routes[0]
		added.Name, added.Prefix, added.Resumable = "once", "/once/", false
		b.store.put("op", "config", standin.Config(2, append(routes, added), keys))
		b.record.note("configuration 2 adds the route /once/, whose streams can't be resumed")
		path = "/once/2f"
	}
	time.Sleep(4 * time.Second)
	client := standin.NewClient(host, true)
	var wg sync.WaitGroup
	for n := range 40 {
		wg.Go(func() {
			g := b.gateways[n%len(b.gateways)]
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			id := fmt.Sprintf("%08x", n)
			resp := client.Do(ctx, standin.Request{
				ID: id, Method: http.MethodPost, Path: path, Address: g.callers, Key: clientKey, Body: id, Deadline: 20 * time.Second, HasPrompt: true,
			})
			b.record.note("request %s to %s answered %d", id, path, resp.Status)
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	return b.judgeOnce("/once/2f"), nil
}

// judgeOnce reports whether a request to a path ran more than once.
func (b *bed) judgeOnce(path string) bool {
	runs := make(map[string]int)
	for _, e := range b.engines {
		for _, r := range e.Runs() {
			b.record.note("engine %s ran %s with model %s for request %s", e.ID, r.Path, r.Model, r.ID)
			if r.Path == path {
				runs[r.ID]++
			}
		}
	}
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	b.record.note("TWICE: %d of %d requests to %s ran more than once", twice, len(runs), path)
	return twice > 0
}
