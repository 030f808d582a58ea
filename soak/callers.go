package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

// kind is a kind of request.
type kind string

const (
	stream kind = "stream"
	order  kind = "order"
	look   kind = "look"
	// probe asks for the route of one configuration.
	probe kind = "probe"
)

// told is a request and what its caller was told.
type told struct {
	id, path, key string
	kind          kind
	vm            *VM
	// life is the VM's process at the time of the request.
	life       string
	sent, done time.Time
	// version is that of the configuration whose route a probe asks for.
	version int64
	answer  standin.Response
}

const (
	requestDeadline = 8 * time.Second
	// probeShare is the part of requests, of 10, that only ask which
	// configuration is in force, keyShare that of those with a key that may go.
	probeShare, keyShare = 2, 3
)

// callers send requests from now on until the context ends.
type callers struct {
	site *site
	// kept keeps connections, as long as a process lives; fresh opens one each.
	kept, fresh *standin.Client

	mu   sync.Mutex
	told []told
	sent int
}

func newCallers(s *site) *callers {
	return &callers{site: s, kept: standin.NewClient(siteHost, false), fresh: standin.NewClient(siteHost, true)}
}

// awaitReady waits until all VMs serve.
func (c *callers) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyLimit)
	for _, v := range c.site.vms {
		for {
			a := c.fresh.Do(ctx, standin.Request{
				ID: "ready-" + string(v.ID), Method: http.MethodGet, Path: "/none/", Address: v.Callers, Key: steadyKey,
				Deadline: time.Second,
			})
			if a.Status == http.StatusNotFound {
				break
			}
			if time.Now().After(deadline) {
				return ErrStart.New("%s does not serve: status %d, %v", v.ID, a.Status, a.Err)
			}
			rest(ctx, readyPoll)
		}
	}
	return nil
}

// run sends rate requests a second.
func (c *callers) run(ctx context.Context, rate float64, rng *rand.Rand) {
	var wait sync.WaitGroup
	defer wait.Wait()
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			t := c.next(rng)
			client := c.kept
			if rng.IntN(2) == 0 {
				client = c.fresh
			}
			wait.Go(func() { c.send(client, t) })
		}
	}
}

// next draws a request.
func (c *callers) next(rng *rand.Rand) told {
	c.mu.Lock()
	c.sent++
	n := c.sent
	c.mu.Unlock()
	t := told{id: fmt.Sprintf("soak-%d", n), key: steadyKey, vm: c.site.vms[rng.IntN(len(c.site.vms))]}
	history := c.site.history()
	if rng.IntN(10) < probeShare {
		at := history[max(len(history)-1-rng.IntN(2), 0)]
		t.kind, t.version, t.path = probe, at.version, versionPath(at.version)+t.id
		return t
	}
	if rng.IntN(10) < keyShare {
		t.key = keyOf(rng.IntN(len(history) + 1))
	}
	t.kind = []kind{stream, stream, order, look}[rng.IntN(4)]
	t.path = map[kind]string{stream: "/s/", order: "/o/", look: "/l/"}[t.kind] + t.id
	return t
}

// keyOf names the key that the n-th change of keys adds.
func keyOf(n int) string { return "key-" + strconv.Itoa(n) }

func (c *callers) send(client *standin.Client, t told) {
	method := http.MethodPost
	if t.kind == look || t.kind == probe {
		method = http.MethodGet
	}
	t.life, t.sent = t.vm.life(), time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	t.answer = client.Do(ctx, standin.Request{
		ID: t.id, Method: method, Path: t.path, Address: t.vm.Callers, Key: t.key, Body: "body of " + t.id,
		Deadline: requestDeadline, HasPrompt: t.kind == stream, Header: map[string]string{"Session": "session of " + t.id},
	})
	t.done = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = append(c.told, t)
}
