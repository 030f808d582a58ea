//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

const (
	// otherService is the service of the route /issue/.
	otherService = "registry"
	// heartbeat is the time between two writes of an engine's entry: HeartbeatMs.
	heartbeat   = 1200 * time.Millisecond
	lookupPause = 20 * time.Millisecond
	lookups     = 8
)

// foreignEntry plays calm traffic on two services. With trouble, another writer writes one entry over that of an
// engine. It lacks Sequence, and so names no engine to use. The engine writes its own entry at its next heartbeat.
func foreignEntry(b *bed, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var engines []*standin.Engine
	var work sync.WaitGroup
	for _, of := range []string{service, otherService} {
		for i, zone := range zones {
			e := &standin.Engine{ID: fmt.Sprintf("i-%s-%d", of, i), Service: of, Version: oldVersion, Zone: zone}
			e.Start()
			engines = append(engines, e)
			work.Go(func() { b.beat(ctx, e) })
		}
	}
	defer func() {
		for _, e := range engines {
			e.Close()
		}
	}()
	if err := b.start(); err != nil {
		return false, err
	}
	for i := range lookups {
		work.Go(func() { b.lookUp(ctx, i) })
	}
	time.Sleep(3 * time.Second)
	target := engines[len(zones)]
	if trouble {
		entry := target.Entry("ready")
		entry["Service"] = service
		delete(entry, "Sequence")
		b.store.Put("servers", target.ID, entry)
		b.note("another writer: wrote servers/%s %v", target.ID, entry)
	}
	time.Sleep(4 * time.Second)
	cancel()
	work.Wait()
	return b.countStrays(engines) > 0, nil
}

// beat writes the entry of an engine at each heartbeat.
func (b *bed) beat(ctx context.Context, e *standin.Engine) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		entry := e.Entry("ready")
		entry["Sequence"] = sequence
		b.store.Put("servers", e.ID, entry)
		b.note("engine %s: wrote its entry, sequence %d", e.ID, sequence)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// lookUp sends lookups to a gateway, one after the other.
func (b *bed) lookUp(ctx context.Context, number int) {
	client := standin.NewClient(siteHost, false)
	address := b.gateways[number%len(b.gateways)].callers
	for i := 0; ctx.Err() == nil; i++ {
		path := fmt.Sprintf("/status/s%02d-%04d", number, i)
		resp := client.Do(context.Background(), standin.Request{
			ID: fmt.Sprintf("%02d-%04d", number, i), Method: "GET", Path: path, Address: address, Key: siteKey, Deadline: 3 * time.Second,
		})
		if resp.Status != 200 || resp.Incomplete || !strings.Contains(resp.Body, "by i-"+service) {
			b.note("client: %s answered %d, seal %q, body %q", path, resp.Status, resp.Seal(), resp.Body)
		}
		time.Sleep(lookupPause)
	}
}

// countStrays returns the number of requests that ran at an engine of another service than their route's.
func (b *bed) countStrays(engines []*standin.Engine) int {
	strays := 0
	for _, e := range engines {
		for _, r := range e.Runs() {
			if strings.HasPrefix(r.Path, "/status/") && e.Service != service {
				strays++
				b.note("engine %s of service %s ran %s at %.3f", e.ID, e.Service, r.Path, r.At.Sub(b.startedAt).Seconds())
			}
		}
		b.note("engine %s of service %s ran %d requests", e.ID, e.Service, len(e.Runs()))
	}
	b.note("%d requests ran at a service to which no configuration lets them go", strays)
	return strays
}
