package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

const (
	// recoverTime is RecoverS of the site, and downTime how long the processes are down after the final fault.
	recoverTime, downTime = 12 * time.Second, 1500 * time.Millisecond
	// judgedTime is how long requests are judged after recoverTime.
	judgedTime = 5 * time.Second
	// rolloutSeconds is the time of each order.
	rolloutSeconds = 24
)

// tally counts requests and those that were served.
type tally struct{ sent, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// playOrder lets operators order a roll-out to v2 and, with trouble, 3 s later one back to v1, whose engines all run. Each order has
// engines of its version started. All gateways are killed right after that, and start again.
func playOrder(b *bed, binary string, trouble bool) (bool, error) {
	b.configure([]standin.Route{
		{Name: "draft", Host: host, Prefix: "/draft/", Kind: standin.KindStreaming, Service: llmService, TimeoutMS: 20000,
			TargetLatencyMS: 2000, Sizes: []string{"m0"}, MaxAttempts: 3, Resumable: true},
	}, map[string][]string{tenant: {key}})
	behave := func(*http.Request) standin.Behaviour {
		return standin.Behaviour{Confidence: 95, Events: 10, Gap: 20 * time.Millisecond}
	}
	b.addVersion("v1", "old", behave)
	if err := b.startGateways(binary, "pampeana-a", "cuyo-a"); err != nil {
		return false, err
	}
	var before, after tally
	b.sendFor(3*time.Second, &before)
	b.order("v2", behave)
	b.sendFor(3*time.Second, &before)
	if trouble {
		b.order("v1", behave)
	}
	for _, g := range b.gateways {
		g.kill()
	}
	b.note("all gateways are killed; %d of %d requests were served before", before.served, before.sent)
	time.Sleep(downTime)
	for _, g := range b.gateways {
		if err := g.start(binary, b.dir); err != nil {
			return false, err
		}
	}
	for _, g := range b.gateways {
		if err := g.awaitReady(); err != nil {
			return false, err
		}
	}
	b.note("all gateways are back")
	var meanwhile tally
	b.sendFor(recoverTime, &meanwhile)
	b.note("%d of %d requests were served in the first %v; status of v1 %q, of v2 %q", meanwhile.served, meanwhile.sent, recoverTime,
		b.store.RolloutPhase(llmService, "v1"), b.store.RolloutPhase(llmService, "v2"))
	b.sendFor(judgedTime, &after)
	b.note("%d of %d requests were served later than that; status of v1 %q, of v2 %q", after.served, after.sent,
		b.store.RolloutPhase(llmService, "v1"), b.store.RolloutPhase(llmService, "v2"))
	return before.share() >= 0.25 && after.share() < 0.25, nil
}

// addVersion starts an engine of a version in each zone.
func (b *bed) addVersion(version string, name string, behave func(*http.Request) standin.Behaviour) {
	for i, zone := range []string{"pampeana-a", "cuyo-a", "noa-a"} {
		id := fmt.Sprintf("%s-%s-%d", version, name, i+1)
		b.addEngine(&standin.Engine{ID: id, Service: llmService, Zone: zone, Version: version, Behave: behave})
	}
}

// order starts engines of a version alongside those that run, and writes the order of a roll-out to it.
func (b *bed) order(to string, behave func(*http.Request) standin.Behaviour) {
	b.addVersion(to, "new", behave)
	b.store.Put("op", "rollout/"+llmService, map[string]any{"Service": llmService, "To": to, "DurationS": rolloutSeconds})
	b.note("acknowledged: an order to move %s to %s within %d s", llmService, to, rolloutSeconds)
}

// sendFor sends requests to all gateways for the given time, and counts them.
func (b *bed) sendFor(length time.Duration, t *tally) {
	until := time.Now().Add(length)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for c := range 6 {
		wg.Go(func() {
			client := standin.NewClient(host, false)
			for time.Now().Before(until) {
				mu.Lock()
				t.sent++
				id := fmt.Sprintf("draft-%d-%d", time.Now().UnixNano(), c)
				mu.Unlock()
				resp := client.Do(context.Background(), standin.Request{
					ID: id, Method: http.MethodPost, Path: "/draft/2f", Address: b.gateways[c%len(b.gateways)].callers, Key: key,
					Body: "street dossier", Deadline: 6 * time.Second, HasPrompt: true, Header: map[string]string{"Session": id},
				})
				if resp.Status == http.StatusOK && !resp.Incomplete {
					mu.Lock()
					t.served++
					mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}
