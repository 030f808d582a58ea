//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

const (
	// lostShare is the share of its answers that an engine in trouble loses, and lostFor how long it does.
	lostShare = 0.3
	lostFor   = 6 * time.Second
	issuers   = 6
	// issuePause is the time between two requests of a client.
	issuePause = 100 * time.Millisecond
)

// encodedSlash plays clients that issue permits whose numbers have slashes, on a route whose requests may run once at
// most. A longer prefix, for lookups, begins the decoded path and not the path. With trouble, one engine of three
// loses answers to requests that it ran.
func encodedSlash(b *bed, trouble bool) (bool, error) {
	b.store.Put("op", "config", standin.Config(2, []standin.Route{
		{Name: "issue", Host: siteHost, Prefix: "/permits/", Kind: standin.KindNonIdempotent, Service: service, TimeoutMS: 3000, TargetLatencyMS: 400, MaxAttempts: 1},
		{Name: "look-up", Host: siteHost, Prefix: "/permits/A/", Kind: standin.KindIdempotent, Service: service, TimeoutMS: 3000, TargetLatencyMS: 400, MaxAttempts: 2},
	}, map[string][]string{tenant: {siteKey}}))
	var loses atomic.Bool
	var engines []*standin.Engine
	for i, zone := range zones {
		e := &standin.Engine{ID: fmt.Sprintf("i-permits-%d", i), Service: service, Version: oldVersion, Zone: zone}
		if i == 0 {
			e.Behave = func(*http.Request) standin.Behaviour {
				return standin.Behaviour{Confidence: -1, Drop: loses.Load() && rand.Float64() < lostShare}
			}
		}
		e.Start()
		b.store.Put("servers", e.ID, e.Entry("ready"))
		engines = append(engines, e)
	}
	defer func() {
		for _, e := range engines {
			e.Close()
		}
	}()
	if err := b.start(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for i := range issuers {
		clients.Go(func() { b.issue(ctx, i) })
	}
	time.Sleep(2 * time.Second)
	loses.Store(trouble)
	b.note("engine %s loses answers: %t", engines[0].ID, trouble)
	time.Sleep(lostFor)
	loses.Store(false)
	time.Sleep(time.Second)
	cancel()
	clients.Wait()
	return b.countTwice(engines) > 0, nil
}

// issue sends requests for new permits to a gateway, one after the other.
func (b *bed) issue(ctx context.Context, number int) {
	client := standin.NewClient(siteHost, false)
	address := b.gateways[number%len(b.gateways)].callers
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("issue-%d-%04d", number, i)
		path := fmt.Sprintf("/permits/A%%2F2026%%2F%d%04d", number, i)
		resp := client.Do(context.Background(), standin.Request{
			ID: id, Method: "POST", Path: path, Address: address, Key: siteKey, Body: "permit", Deadline: 3 * time.Second,
		})
		b.note("client: POST %s, attempt %s: answered %d, seal %q, incomplete %t", path, id, resp.Status, resp.Seal(), resp.Incomplete)
		time.Sleep(issuePause)
	}
}

// countTwice returns the number of requests that ran more than once.
func (b *bed) countTwice(engines []*standin.Engine) int {
	runs := make(map[string][]string)
	for _, e := range engines {
		for _, r := range e.Runs() {
			runs[r.ID] = append(runs[r.ID], fmt.Sprintf("%s at %.3f", e.ID, r.At.Sub(b.startedAt).Seconds()))
		}
	}
	twice := 0
	for id, at := range runs {
		if len(at) > 1 {
			twice++
			b.note("%s ran %d times: %v", id, len(at), at)
		}
	}
	b.note("of %d requests that may run once at most, %d ran more than once", len(runs), twice)
	return twice
}
