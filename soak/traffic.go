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

// requestKind is a kind of request. Its value is the name of the route and the prefix of
// the outcome in Report.Outcomes.
type requestKind string

const (
	streamRequest requestKind = "stream" // resumable stream of a model
	orderRequest  requestKind = "order"  // non-idempotent call
	lookupRequest requestKind = "look"   // idempotent call
	// probeRequest is an idempotent call to the probe route of one configuration.
	probeRequest requestKind = "probe"
)

// exchange is a request and the response that its caller received.
type exchange struct {
	id, path, key string
	kind          requestKind
	vm            *VM
	// process is the name of the VM's process when the request was sent.
	process        string
	sentAt, doneAt time.Time
	// wholeAt is when a late caller had sent the whole request; zero for others.
	wholeAt time.Time
	// connectedAt is when its connection was opened, or last used before.
	connectedAt time.Time
	// configVersion is the version of the configuration that a probe requests; 0 for
	// other kinds.
	configVersion int64
	// culprit makes the request crash upstreams; nil for others. body replaces the default
	// body, and promptParts the default parts of the prompt, if they are not empty.
	culprit           *culprit
	body, promptParts string
	response          standin.Response
}

// requestBody returns the body of the request.
func (x exchange) requestBody() string {
	if x.body != "" {
		return x.body
	}
	return "body of " + x.id
}

const (
	requestDeadline = 8 * time.Second
	// On average probesPerTen of ten requests are probes. Of ten others
	// changingKeysPerTen use a key that configurations add and remove.
	probesPerTen, changingKeysPerTen = 2, 3
)

// trafficGenerator sends requests to random VMs and records the responses.
type trafficGenerator struct {
	testbed *testbed
	// reusingClient keeps connections alive; singleUseClient opens a new connection for
	// each request.
	reusingClient, singleUseClient *standin.Client

	mu        sync.Mutex
	exchanges []exchange // in the order of completion
	sentCount int
}

func newTrafficGenerator(bed *testbed) *trafficGenerator {
	return &trafficGenerator{testbed: bed, reusingClient: standin.NewClient(siteHost, false), singleUseClient: standin.NewClient(siteHost, true)}
}

// awaitReady waits until all VMs serve requests: they respond with status 404 to a path
// without a route. Errors: ErrStart.
func (g *trafficGenerator) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, v := range g.testbed.vms {
		for {
			response := g.singleUseClient.Do(ctx, standin.Request{
				ID: "ready-" + string(v.ID), Method: http.MethodGet, Path: "/none/", Address: v.Callers, Key: permanentKey,
				Deadline: time.Second,
			})
			if response.Status == http.StatusNotFound {
				break
			}
			if time.Now().After(deadline) {
				return ErrStart.New("%s is not ready to serve requests: status %d, %v", v.ID, response.Status, response.Err)
			}
			sleep(ctx, readyPollInterval)
		}
	}
	return nil
}

// run sends rate requests per second until the context ends, and waits for their
// responses.
func (g *trafficGenerator) run(ctx context.Context, rate float64, rng *rand.Rand) {
	var wait sync.WaitGroup
	defer wait.Wait()
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			for range max(g.testbed.burst.Load(), 1) {
				x := g.nextRequest(rng)
				client := g.reusingClient
				if rng.IntN(2) == 0 {
					client = g.singleUseClient
				}
				wait.Go(func() { g.send(client, x) })
			}
			for range g.testbed.streamBurst.Load() {
				x := g.nextStream(rng)
				wait.Go(func() { g.send(g.reusingClient, x) })
			}
		}
	}
}

// nextRequest draws a random request. A probe requests the newest configuration or the
// one before it.
func (g *trafficGenerator) nextRequest(rng *rand.Rand) exchange {
	g.mu.Lock()
	g.sentCount++
	number := g.sentCount
	g.mu.Unlock()
	x := exchange{id: fmt.Sprintf("soak-%d", number), key: permanentKey, vm: g.testbed.vms[rng.IntN(len(g.testbed.vms))]}
	if active := g.testbed.activeCulprits(); len(active) > 0 && rng.IntN(10) < culpritsPerTen {
		active[rng.IntN(len(active))].fill(&x)
		return x
	}
	history := g.testbed.history()
	if rng.IntN(10) < probesPerTen {
		probed := history[max(len(history)-1-rng.IntN(2), 0)]
		x.kind, x.configVersion, x.path = probeRequest, probed.version, probePath(probed.version)+x.id
		return x
	}
	if rng.IntN(10) < changingKeysPerTen {
		x.key = changingKey(rng.IntN(len(history) + 1))
	}
	x.kind = []requestKind{streamRequest, streamRequest, orderRequest, lookupRequest}[rng.IntN(4)]
	x.path = map[requestKind]string{streamRequest: "/s/", orderRequest: "/o/", lookupRequest: "/l/"}[x.kind] + x.id
	return x
}

// nextStream returns a stream of a burst.
func (g *trafficGenerator) nextStream(rng *rand.Rand) exchange {
	g.mu.Lock()
	g.sentCount++
	id := fmt.Sprintf("soak-%d", g.sentCount)
	g.mu.Unlock()
	return exchange{id: id, key: permanentKey, vm: g.testbed.vms[rng.IntN(len(g.testbed.vms))], kind: streamRequest, path: "/s/" + id}
}

// changingKey returns the n-th of the keys that configurations add and remove.
func changingKey(n int) string { return "key-" + strconv.Itoa(n) }

// send sends a request and records the exchange. The request is not cancelled with the
// run, so that every request in flight gets the time up to its deadline.
func (g *trafficGenerator) send(client *standin.Client, x exchange) {
	method := http.MethodPost
	if x.kind == lookupRequest || x.kind == probeRequest {
		method = http.MethodGet
	}
	x.process, x.sentAt = x.vm.processName(), time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	x.response = client.Do(ctx, standin.Request{
		ID: x.id, Method: method, Path: x.path, Address: x.vm.Callers, Key: x.key, Body: x.requestBody(),
		Deadline: requestDeadline, HasPrompt: x.kind == streamRequest, PromptParts: x.promptParts,
		Header: map[string]string{"Session": "session of " + x.id},
	})
	x.doneAt = time.Now()
	g.record(x)
}

// record adds an exchange that has ended.
func (g *trafficGenerator) record(x exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exchanges = append(g.exchanges, x)
}
