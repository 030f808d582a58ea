//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

// bed is a small deployment on loopback: the store, engines, and gateways as processes.
type bed struct {
	dir       string
	store     *table
	storeHTTP *httptest.Server
	engines   []*standin.Engine
	gateways  []*gateway
	record    *record
}

// zones are the failure domains; each has a region of its own.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// newBed starts a store and creates the record in the directory of a case.
func newBed(caseDir string) (*bed, error) {
	r, err := newRecord(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bed{dir: dir, store: newTable(), record: r}
	b.storeHTTP = httptest.NewServer(b.store)
	return b, nil
}

// close ends everything that the bed started.
func (b *bed) close() {
	for _, g := range b.gateways {
		g.end()
	}
	for _, e := range b.engines {
		e.Close()
	}
	b.storeHTTP.CloseClientConnections()
	b.storeHTTP.Close()
	_ = os.RemoveAll(b.dir)
	b.record.close()
}

// addEngine starts an engine and registers it as ready.
func (b *bed) addEngine(e *standin.Engine) {
	e.Start()
	b.engines = append(b.engines, e)
	b.store.put("servers", e.ID, e.Entry("ready"))
}

// gateway is a gateway process.
type gateway struct {
	id              string
	callers, health string
	settingsFile    string
	cmd             *exec.Cmd
	exited          chan struct{}
	logFile         *os.File
}

// addGateways starts gateways, with settings of the shape of deploy/gateway.json.tmpl.
func (b *bed) addGateways(n int) error {
	pid := os.Getpid()
	var seeds []string
	peers := make([][]string, n)
	for i := range n {
		ip := fmt.Sprintf("127.%d.%d.%d", 100+pid>>8%100, pid&0xff, i+1)
		ports, err := freePorts(ip, 6)
		if err != nil {
			return err
		}
		peers[i] = ports
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", ports[3]))
		}
	}
	for i, a := range peers {
		zone := zones[i%len(zones)]
		g := &gateway{id: fmt.Sprintf("edge-%s-%d", zone, i+1), callers: a[0], health: a[1], exited: make(chan struct{})}
		text := fmt.Sprintf(`{
  "vm": {"id": %q, "domain": %q, "region": "region-%s"},
  "regions": {"zone-a": "region-zone-a", "zone-b": "region-zone-b", "zone-c": "region-zone-c"},
  "callers": {"address": %q, "allow_plain": true},
  "health": {"address": %q, "allow_plain": true},
  "metrics": {"address": %q, "allow_plain": true},
  "peers": {"address": %q, "allow_plain": true},
  "relay": {"address": %q, "allow_plain": true},
  "seeds": [%s],
  "hints": %q,
  "store": {"address": %q},
  "changes": {"config_ms": 3000, "drain_ms": 3000},
  "retries": {"span_s": 10, "ratio": 0.9, "slack": 54},
  "exposure": 0.15,
  "exposure_slack": 30,
  "stop": {"grace_s": 8},
  "load_control": {"admission": true},
  "memory_mb": 284
}
`, g.id, zone, zone, a[0], a[1], a[2], a[3], a[4], strings.Join(seeds, ", "), a[5], strings.TrimPrefix(b.storeHTTP.URL, "http://"))
		g.settingsFile = filepath.Join(b.dir, g.id+".json")
		if err := os.WriteFile(g.settingsFile, []byte(text), 0o600); err != nil {
			return err
		}
		b.gateways = append(b.gateways, g)
		if err := g.start(filepath.Join(b.dir, g.id+".log")); err != nil {
			return err
		}
	}
	return b.awaitReady()
}

// freePorts returns unused addresses of a host.
func freePorts(ip string, n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// start starts the process by the command of the deploy file.
func (g *gateway) start(logPath string) error {
	var err error
	if g.logFile, err = os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	g.cmd = exec.Command("target/poplarshored", "gateway", "--settings", g.settingsFile)
	g.cmd.Stdout, g.cmd.Stderr = g.logFile, g.logFile
	if err := g.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = g.cmd.Wait()
		close(g.exited)
	}()
	return nil
}

// end kills the process and waits for its end.
func (g *gateway) end() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.exited
	_ = g.logFile.Close()
}

// readyTimeout is how long gateways may take to become ready.
const readyTimeout = 10 * time.Second

// awaitReady waits until all gateways say that they are ready.
func (b *bed) awaitReady() error {
	until := time.Now().Add(readyTimeout)
	for _, g := range b.gateways {
		for !g.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("gateway %s is not ready after %v", g.id, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// ready asks the gateway as the platform does.
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

// record is the file with what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, started: time.Now()}, err
}

// note adds a line, with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }
