//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

const (
	siteHost = "site.example"
	siteKey  = "key-of-a-client"
	tenant   = "tenant-1"
	service  = "permits"
	// oldVersion is the version of all engines.
	oldVersion = "v1"
)

// zones are the zones, each in a region of its own.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// bed is a small deployment: one gateway a zone, a store, engines and what happened.
type bed struct {
	dir       string
	store     *standin.Store
	server    *httptest.Server
	gateways  []*gateway
	startedAt time.Time

	mu     sync.Mutex
	record *os.File
}

// gateway is a process of poplarshored.
type gateway struct {
	callers, health string
	cmd             *exec.Cmd
}

// newBed starts the store and the gateways, with settings as the deploy file's template makes them.
func newBed(binary, record string) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	b := &bed{dir: dir, store: standin.NewStore(), startedAt: time.Now(), record: file}
	b.server = httptest.NewServer(b.store)
	b.store.Put("op", "config", standin.Config(1, []standin.Route{
		{Name: "status", Host: siteHost, Prefix: "/status/", Kind: standin.KindIdempotent, Service: service, TimeoutMS: 3000, TargetLatencyMS: 400, MaxAttempts: 2},
		{Name: "issue", Host: siteHost, Prefix: "/issue/", Kind: standin.KindNonIdempotent, Service: otherService, TimeoutMS: 3000, TargetLatencyMS: 400, MaxAttempts: 1},
	}, map[string][]string{tenant: {siteKey}}))
	if err := b.startGateways(binary); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

// addresses are the loopback addresses of one gateway.
type addresses struct{ callers, health, metrics, peers, relay, hints string }

func (b *bed) startGateways(binary string) error {
	var all []addresses
	var seeds []string
	for i := range zones {
		host := fmt.Sprintf("127.0.%d.1", 10+i)
		var a addresses
		for _, address := range []*string{&a.callers, &a.health, &a.metrics, &a.peers, &a.relay, &a.hints} {
			l, err := net.Listen("tcp", host+":0")
			if err != nil {
				return err
			}
			defer func() { _ = l.Close() }()
			*address = l.Addr().String()
			if address == &a.hints {
				a.hints = a.relay
			}
		}
		all, seeds = append(all, a), append(seeds, a.peers)
	}
	return b.startAt(binary, all, seeds)
}

func (b *bed) startAt(binary string, all []addresses, seeds []string) error {
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "region-of-" + z
	}
	listener := func(address string) map[string]any { return map[string]any{"address": address, "allow_plain": true} }
	for i, a := range all {
		name := fmt.Sprintf("edge-%s-1", zones[i])
		text, err := json.Marshal(map[string]any{
			"vm":      map[string]any{"id": name, "domain": zones[i], "region": regions[zones[i]]},
			"regions": regions, "callers": listener(a.callers), "health": listener(a.health), "metrics": listener(a.metrics),
			"peers": listener(a.peers), "relay": listener(a.relay), "seeds": seeds, "hints": a.hints,
			"store":    map[string]any{"address": strings.TrimPrefix(b.server.URL, "http://")},
			"changes":  map[string]any{"config_ms": 3000, "drain_ms": 3000},
			"retries":  map[string]any{"span_s": 10, "ratio": 0.9, "slack": 54},
			"exposure": 0.15, "exposure_slack": 30, "stop": map[string]any{"grace_s": 8},
			"load_control": map[string]any{"admission": true}, "memory_mb": 284,
		})
		if err != nil {
			return err
		}
		path := filepath.Join(b.dir, name+".json")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return err
		}
		b.gateways = append(b.gateways, &gateway{callers: a.callers, health: a.health, cmd: b.command(binary, path, name)})
	}
	return nil
}

// command returns the command of a gateway, whose log goes to a file of the temporary folder.
func (b *bed) command(binary, settings, name string) *exec.Cmd {
	cmd := exec.Command(binary, "gateway", "--settings", settings)
	if log, err := os.Create(filepath.Join(b.dir, name+".log")); err == nil {
		cmd.Stdout, cmd.Stderr = log, log
	}
	return cmd
}

// start starts the processes and waits until all gateways are ready.
func (b *bed) start() error {
	for _, g := range b.gateways {
		if err := g.cmd.Start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, g := range b.gateways {
		for !g.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("gateway at %s not ready in time", g.callers)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (g *gateway) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.health+"/poplarshore/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// note writes a line to the record, with the time since the start.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// close ends the processes that were started, and the store.
func (b *bed) close() {
	for _, g := range b.gateways {
		if g.cmd.Process != nil {
			_ = g.cmd.Process.Signal(syscall.SIGKILL)
			_ = g.cmd.Wait()
		}
	}
	b.server.CloseClientConnections()
	_ = b.record.Close()
	_ = os.RemoveAll(b.dir)
}
