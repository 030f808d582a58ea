package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/template"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

// errNotReady reports that a gateway did not become ready.
var errNotReady = errors.New("a gateway did not become ready")

// bed is a small deployment: the platform's store, engines, and gateways as processes.
type bed struct {
	dir      string
	record   *os.File
	store    *standin.Store
	server   *httptest.Server
	engines  []*standin.Engine
	gateways []*gateway
	version  int64
	started  time.Time
}

// gateway is one process of the system, started by the command of the deploy file.
type gateway struct {
	name, zone, ip                            string
	callers, health, peers, internal, metrics string
	settings                                  string
	log                                       *os.File
	process                                   *exec.Cmd
	exited                                    chan struct{}
}

// newBed returns a deployment without engines and gateways. It writes record.txt to dir.
func newBed(dir string) (*bed, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	b := &bed{dir: tmp, record: record, store: standin.NewStore(), started: time.Now()}
	b.server = httptest.NewServer(b.store)
	return b, nil
}

// note writes a line to the record and to standard output.
func (b *bed) note(format string, args ...any) {
	line := fmt.Sprintf("%7.3f  ", time.Since(b.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = b.record.WriteString(line)
	fmt.Print(line)
}

// closeOnSignal ends all that was started, and this process, on SIGTERM or SIGINT.
func (b *bed) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		b.note("ended by a signal")
		b.close()
		os.Exit(couldNot)
	}()
}

// close ends all that was started.
func (b *bed) close() {
	for _, g := range b.gateways {
		g.kill()
	}
	for _, e := range b.engines {
		e.Close()
	}
	b.server.CloseClientConnections()
	b.server.Close()
	_ = b.record.Close()
	_ = os.RemoveAll(b.dir)
}

// configure writes the next version of the configuration.
func (b *bed) configure(routes []standin.Route, keys map[string][]string) {
	b.version += 3
	b.store.Put("op", "config", standin.Config(b.version, routes, keys))
}

// addEngine starts an engine and registers it.
func (b *bed) addEngine(e *standin.Engine) {
	e.Start()
	b.engines = append(b.engines, e)
	b.store.Put("servers", e.ID, e.Entry("ready"))
}

// settingsText has the shape of deploy/gateway.json.tmpl, with the bounds of the small sites.
var settingsText = template.Must(template.New("settings").Parse(`{
  "vm": {"id": "{{.Name}}", "domain": "{{.Zone}}", "region": "{{.Region}}"},
  "regions": {"pampeana-a": "pampeana", "cuyo-a": "cuyo", "noa-a": "noa"},
  "callers": {"address": "{{.Callers}}", "allow_plain": true},
  "health": {"address": "{{.Health}}", "allow_plain": true},
  "metrics": {"address": "{{.Metrics}}", "allow_plain": true},
  "peers": {"address": "{{.Peers}}", "allow_plain": true},
  "relay": {"address": "{{.Internal}}", "allow_plain": true},
  "seeds": [{{.Seeds}}],
  "hints": "{{.Internal}}",
  "store": {"address": "{{.Store}}"},
  "changes": {"config_ms": 3000, "drain_ms": 3000},
  "retries": {"span_s": 10, "ratio": 0.9, "slack": 54},
  "exposure": 0.15,
  "exposure_slack": 30,
  "stop": {"grace_s": 8},
  "load_control": {"admission": true},
  "memory_mb": 284,
}
`))

// startGateways starts a gateway in each of the zones and waits until they are ready.
func (b *bed) startGateways(binary string, zones ...string) error {
	var seeds []string
	for i, zone := range zones {
		g, err := newGateway(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&0xff, i+2))
		if err != nil {
			return err
		}
		b.gateways = append(b.gateways, g)
		seeds = append(seeds, fmt.Sprintf("%q", g.peers))
	}
	for _, g := range b.gateways {
		if err := b.writeSettings(g, strings.Join(seeds, ", ")); err != nil {
			return err
		}
		if err := g.start(binary, b.dir); err != nil {
			return err
		}
	}
	for _, g := range b.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
		b.note("%s is ready; callers connect to %s", g.name, g.callers)
	}
	return nil
}

// writeSettings writes the settings file of a gateway.
func (b *bed) writeSettings(g *gateway, seeds string) error {
	region, _, _ := strings.Cut(g.zone, "-")
	var text bytes.Buffer
	err := settingsText.Execute(&text, map[string]string{
		"Name": g.name, "Zone": g.zone, "Region": region, "Callers": g.callers, "Health": g.health, "Metrics": g.metrics,
		"Peers": g.peers, "Internal": g.internal, "Seeds": seeds, "Store": strings.TrimPrefix(b.server.URL, "http://"),
	})
	if err != nil {
		return err
	}
	g.settings = filepath.Join(b.dir, g.name+".json")
	return os.WriteFile(g.settings, text.Bytes(), 0o600)
}

// newGateway finds free ports for a gateway on a loopback address of its own.
func newGateway(name, zone, ip string) (*gateway, error) {
	g := &gateway{name: name, zone: zone, ip: ip}
	for _, address := range []*string{&g.callers, &g.health, &g.peers, &g.internal, &g.metrics} {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		*address = l.Addr().String()
	}
	return g, nil
}

// start starts the process.
func (g *gateway) start(binary, dir string) error {
	log, err := os.Create(filepath.Join(dir, g.name+".log"))
	if err != nil {
		return err
	}
	g.log = log
	g.process = exec.Command(binary, "gateway", "--settings", g.settings)
	g.process.Stdout, g.process.Stderr = log, log
	g.exited = make(chan struct{})
	if err := g.process.Start(); err != nil {
		return err
	}
	go func() {
		_ = g.process.Wait()
		close(g.exited)
	}()
	return nil
}

// awaitReady waits until the gateway answers that it is ready.
func (g *gateway) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.health+"/poplarshore/readyz", nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%w: %s", errNotReady, g.name)
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) { _ = g.process.Process.Signal(s) }

// kill ends the process and waits for it.
func (g *gateway) kill() {
	if g.process == nil || g.process.Process == nil {
		return
	}
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGKILL)
	<-g.exited
	_ = g.log.Close()
}

// runsByID returns what the engines ran, by the id of the request.
func (b *bed) runsByID() map[string][]string {
	runs := make(map[string][]string)
	for _, e := range b.engines {
		for _, r := range e.Runs() {
			runs[r.ID] = append(runs[r.ID], e.ID+" with model "+r.Model)
		}
	}
	return runs
}
