package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

// heartbeat is the interval at which engines write their entries.
const heartbeat = 1200 * time.Millisecond

// draftPause is the pause of a client before each request.
const draftPause = 100 * time.Millisecond

// playForeignEntry lets another writer replace the entry of an engine of the permit registry once. Its entry has Stage and Models of
// another type, and names the other service. The engine writes its own entry again at its next heartbeat.
func playForeignEntry(b *bed, binary string, trouble bool) (bool, error) {
	b.configure([]standin.Route{
		{Name: "draft", Host: host, Prefix: "/draft/", Kind: standin.KindStreaming, Service: llmService, TimeoutMS: 20000,
			TargetLatencyMS: 2000, Sizes: []string{"m0"}, MaxAttempts: 3, Resumable: true},
		{Name: "issue", Host: host, Prefix: "/issue/", Kind: standin.KindNonIdempotent, Service: appService, TimeoutMS: 6000, TargetLatencyMS: 400, MaxAttempts: 1},
	}, map[string][]string{tenant: {key}})
	for i, zone := range []string{"pampeana-a", "cuyo-a", "noa-a"} {
		b.addEngine(&standin.Engine{ID: fmt.Sprintf("llm-%d", i+1), Service: llmService, Zone: zone, Version: "v1", Behave: func(*http.Request) standin.Behaviour {
			return standin.Behaviour{Confidence: 95, Events: 10, Gap: 30 * time.Millisecond}
		}})
		b.addEngine(&standin.Engine{ID: fmt.Sprintf("app-%d", i+1), Service: appService, Zone: zone, Version: "v1"})
	}
	for _, e := range b.engines {
		b.store.Put("servers", e.ID, fullEntry(e))
	}
	if err := b.startGateways(binary, "pampeana-a", "cuyo-a", "noa-a"); err != nil {
		return false, err
	}
	victim := b.engines[1]
	var wg sync.WaitGroup
	wg.Go(func() { b.sendDrafts(6 * time.Second) })
	time.Sleep(2 * time.Second)
	if trouble {
		entry := fullEntry(victim)
		entry["Service"], entry["Sequence"], entry["Stage"], entry["Models"] = llmService, 9, 7, "none"
		b.store.Put("servers", victim.ID, entry)
		b.note("another writer's entry for %s: Service %s, Stage 7, Models \"none\"", victim.ID, llmService)
		time.Sleep(heartbeat)
		b.store.Put("servers", victim.ID, fullEntry(victim))
		b.note("%s has written its own entry again", victim.ID)
	}
	wg.Wait()
	foreign := 0
	for _, e := range b.engines {
		for _, r := range e.Runs() {
			if e.Service == appService && strings.HasPrefix(r.Path, "/draft/") {
				b.note("%s of %s ran %s %s at %.3f s", e.ID, e.Service, r.ID, r.Path, r.At.Sub(b.started).Seconds())
				foreign++
			}
		}
	}
	b.note("%d requests of the route to %s were run by %s", foreign, llmService, appService)
	return foreign > 0, nil
}

// fullEntry returns the entry of an engine as engines write it: those of models have Stage and Models, too.
func fullEntry(e *standin.Engine) map[string]any {
	entry := e.Entry("ready")
	if e.Service == llmService {
		entry["Stage"], entry["Models"] = "mixed", []map[string]any{{"Name": "m0", "Version": 1, "Adapters": []string{}}}
	}
	return entry
}

// sendDrafts sends requests for drafts to all gateways for the given time.
func (b *bed) sendDrafts(length time.Duration) {
	until := time.Now().Add(length)
	client := standin.NewClient(host, false)
	var wg sync.WaitGroup
	for c := range 9 {
		wg.Go(func() {
			for k := 0; time.Now().Before(until); k++ {
				time.Sleep(draftPause)
				g := b.gateways[c%len(b.gateways)]
				id := fmt.Sprintf("draft-%d-%d", c, k)
				resp := client.Do(context.Background(), standin.Request{
					ID: id, Method: http.MethodPost, Path: "/draft/2f", Address: g.callers, Key: key, Body: "street dossier", Deadline: 6 * time.Second, HasPrompt: true,
				})
				if resp.Seal() != "" && strings.HasPrefix(resp.Seal(), standin.SealOf("app-")) {
					b.note("%s at %s: status %d, seal %s, body %q", id, g.name, resp.Status, resp.Seal(), resp.Body)
				}
			}
		})
	}
	wg.Wait()
}
