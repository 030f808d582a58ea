//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

const (
	unknownKey = "key-that-no-configuration-held"
	// configApply is ConfigApplyMs of the settings, and applyMargin what the case waits beyond it.
	configApply = 3 * time.Second
	applyMargin = 2 * time.Second
	// keyRequests is the number of requests with each key in each phase.
	keyRequests = 20
)

// runRevoked takes the only key away from the connected clients, with its tenant.
func runRevoked(b *bed, trouble bool) (bool, error) {
	for _, zone := range zones {
		b.addEngine(&standin.Engine{ID: "permits-" + zone, Service: "permits", Zone: zone, Version: "v1", Capacity: 6,
			Behave: func(*http.Request) standin.Behaviour { return standin.Behaviour{Confidence: -1} }})
	}
	routes := []standin.Route{{
		Name: "issue", Host: host, Prefix: "/issue/", Kind: standin.KindNonIdempotent, Service: "permits", TimeoutMS: 6000, TargetLatencyMS: 400, MaxAttempts: 3,
	}}
	b.store.put("op", "config", standin.Config(1, routes, map[string][]string{tenant: {clientKey}}))
	if err := b.addGateways(2); err != nil {
		return false, err
	}
	b.sendWithKeys("before")
	if trouble {
		config := standin.Config(2, routes, nil)
		config["Tenants"] = []any{}
		b.store.put("op", "config", config)
		b.record.note("configuration 2 is acknowledged: it takes away the tenant with its key, the only ones")
	}
	time.Sleep(configApply + applyMargin)
	b.sendWithKeys("after")
	brokenRules := 0
	for _, e := range b.engines {
		for _, r := range e.Runs() {
			b.record.note("engine %s ran %s with the header X-Tenant %q", e.ID, r.ID, r.Account)
			if r.ID[0] == 'u' {
				brokenRules++
				b.record.note("ROUTE: %s ran, whose key no configuration ever held", r.ID)
			}
			if trouble && r.ID[:2] == "ka" {
				brokenRules++
				b.record.note("CONFIG: %s ran with a key that configuration 2 had dropped", r.ID)
			}
		}
	}
	b.record.note("%d requests ran that no configuration in force allows", brokenRules)
	return brokenRules > 0, nil
}

// sendWithKeys sends requests with the key of the tenant, and with one that no configuration ever held.
func (b *bed) sendWithKeys(phase string) {
	client := standin.NewClient(host, false)
	for n := range keyRequests {
		for prefix, key := range map[string]string{"k": clientKey, "u": unknownKey} {
			id := fmt.Sprintf("%s%s-%d", prefix, phase, n)
			ctx, cancel := context.WithTimeout(context.Background(), issueDeadline)
			g := b.gateways[n%len(b.gateways)]
			resp := client.Do(ctx, standin.Request{ID: id, Method: http.MethodPost, Path: "/issue/2f", Address: g.callers, Key: key, Body: id, Deadline: issueDeadline})
			cancel()
			b.record.note("%s with key %q sent to %s: answered %d", id, key, g.id, resp.Status)
		}
	}
}
