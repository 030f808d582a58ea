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
	host      = "permits.example"
	clientKey = "key-of-tenant-a"
	tenant    = "tenant-a"
)

const (
	// greyFor is how long the engine fails requests, and greyShare the share of them that it fails.
	greyFor   = 6 * time.Second
	greyShare = 0.4
	// issueInterval is the time between two permits.
	issueInterval = 50 * time.Millisecond
	issueDeadline = 6 * time.Second
)

// promises are the statuses which promise that a request has not run.
var promises = map[int]bool{
	http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// runRefused lets one of three engines fail a part of the requests that it runs. Clients that are told that a request has
// not run send it again.
func runRefused(b *bed, trouble bool) (bool, error) {
	var grey atomic.Bool
	for i, zone := range zones {
		isGrey := i == 0
		b.addEngine(&standin.Engine{
			ID: fmt.Sprintf("permits-%d", i+1), Service: "permits", Zone: zone, Version: "v1", Capacity: 6,
			Behave: func(*http.Request) standin.Behaviour {
				time.Sleep(20 * time.Millisecond)
				if isGrey && grey.Load() && rand.Float64() < greyShare {
					// The engine says nothing of whether it ran the request: it did.
					return standin.Behaviour{Status: http.StatusServiceUnavailable, Confidence: -1}
				}
				return standin.Behaviour{Confidence: -1}
			},
		})
	}
	b.store.put("op", "config", standin.Config(1, []standin.Route{
		{Name: "issue", Host: host, Prefix: "/issue/", Kind: standin.KindNonIdempotent, Service: "permits", TimeoutMS: 6000, TargetLatencyMS: 400, MaxAttempts: 3},
	}, map[string][]string{tenant: {clientKey}}))
	if err := b.addGateways(2); err != nil {
		return false, err
	}
	c := &issuer{bed: b, client: standin.NewClient(host, true)}
	end := time.Now().Add(2*time.Second + greyFor + 2*time.Second)
	time.AfterFunc(2*time.Second, func() { grey.Store(trouble) })
	time.AfterFunc(2*time.Second+greyFor, func() { grey.Store(false) })
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		wg.Go(func() { c.issue(n) })
		time.Sleep(issueInterval)
	}
	wg.Wait()
	return c.judge(), nil
}

// issuer issues permits.
type issuer struct {
	bed    *bed
	client *standin.Client

	mu sync.Mutex
	// refused holds the attempts that were answered by a promise that they have not run.
	refused map[string]int
	served  int
}

// issue issues a permit. The client tries once more after a status that promises that the request has not run.
func (c *issuer) issue(n int) {
	for try := 1; try <= 2; try++ {
		g := c.bed.gateways[(n+try)%len(c.bed.gateways)]
		id := fmt.Sprintf("%04x%04x", n, try)
		ctx, cancel := context.WithTimeout(context.Background(), issueDeadline)
		c.bed.record.note("permit %d: attempt %s sent to %s", n, id, g.id)
		resp := c.client.Do(ctx, standin.Request{
			ID: id, Method: http.MethodPost, Path: "/issue/2f", Address: g.callers, Key: clientKey,
			Body: fmt.Sprintf("permit %d", n), Deadline: issueDeadline,
		})
		cancel()
		c.bed.record.note("permit %d: attempt %s answered %d, signature %q, not-executed %q, error %v", n, id, resp.Status, resp.Seal(), resp.Header.Get("X-Not-Executed"), resp.Err)
		if !c.add(id, resp) {
			return
		}
	}
}

// add records an answer, and reports whether the client sends the request again.
func (c *issuer) add(id string, resp standin.Response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if resp.Incomplete || !promises[resp.Status] {
		c.served++
		return false
	}
	if c.refused == nil {
		c.refused = make(map[string]int)
	}
	c.refused[id] = resp.Status
	return true
}

// judge reports whether attempts ran that were answered by a promise that they have not.
func (c *issuer) judge() bool {
	permits := make(map[string]int)
	ran := 0
	for _, e := range c.bed.engines {
		for _, r := range e.Runs() {
			c.bed.record.note("engine %s ran attempt %s (%s)", e.ID, r.ID, r.Body)
			permits[r.Body]++
			if status, refused := c.refused[r.ID]; refused {
				ran++
				c.bed.record.note("REFUSED: attempt %s was answered %d and has run", r.ID, status)
			}
		}
	}
	twice := 0
	for _, n := range permits {
		if n > 1 {
			twice++
		}
	}
	c.bed.record.note("%d attempts answered 408, 421, 429 or 503; %d of them have run; %d of %d permits were issued more than once",
		len(c.refused), ran, twice, len(permits))
	return ran > 0
}
