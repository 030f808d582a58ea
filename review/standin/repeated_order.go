//go:build review

package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

const (
	oldVersion, newVersion = "v1", "v2"
	orderDuration          = 8 * time.Second
	// ackTime is how long the operator waits for the answer of the store before it writes again: AckMs.
	ackTime = 5 * time.Second
	// engineStart is how long the engines of the new version take to start after the order.
	engineStart = 400 * time.Millisecond
	sessions    = 90
	// sessionPause is the time between two requests of a session, and sessionTime the bound SessionS.
	sessionPause = 300 * time.Millisecond
	sessionTime  = 5 * time.Second
	// allowedMoves is the number of requests that PINNED allows on another version.
	allowedMoves = 3
)

// run is one run of a request of a session.
type run struct {
	session, version string
	at               time.Time
}

// repeatedOrder plays a roll-out of a good version. With trouble, the store performs the operator's write
// of the order and its answer is lost; the operator writes the same row once more.
func repeatedOrder(b *bed, trouble bool) (bool, error) {
	olds := b.addEngines(oldVersion)
	if err := b.start(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for i := range sessions {
		clients.Go(func() { b.runSession(ctx, i) })
	}
	time.Sleep(3 * time.Second)
	order := map[string]any{"Service": service, "To": newVersion, "DurationS": orderDuration.Seconds()}
	ordered := time.Now()
	b.store.Put("op", "rollout/"+service, order)
	b.note("operator: wrote op/rollout/%s %v; answered: %t", service, order, !trouble)
	time.Sleep(engineStart)
	news := b.addEngines(newVersion)
	if trouble {
		time.Sleep(ackTime - engineStart)
		b.store.Put("op", "rollout/"+service, order)
		b.note("operator: wrote the same row again, as no answer came; answered: true")
	}
	repeated := time.Now()
	phase := ""
	for end := ordered.Add(orderDuration + 7*time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if now := b.store.RolloutPhase(service, newVersion); now != phase {
			phase = now
			b.note("status/rollout/%s: %s", service, phase)
			if phase == "complete" {
				break
			}
		}
	}
	cancel()
	clients.Wait()
	moves := b.countMoves(slices.Concat(olds, news), ordered, repeated)
	b.note("%d requests ran on another version than the one before in their session; %d are allowed", moves, allowedMoves)
	for _, e := range slices.Concat(olds, news) {
		b.note("engine %s (%s) ran %d requests", e.ID, e.Version, len(e.Runs()))
		e.Close()
	}
	return moves > allowedMoves, nil
}

// addEngines starts an engine of a version in each zone and registers it.
func (b *bed) addEngines(version string) []*standin.Engine {
	var engines []*standin.Engine
	for i, zone := range zones {
		e := &standin.Engine{ID: fmt.Sprintf("i-%s-%d", version, i), Service: service, Version: version, Zone: zone}
		e.Start()
		b.store.Put("servers", e.ID, e.Entry("ready"))
		b.note("engine %s of version %s registered", e.ID, version)
		engines = append(engines, e)
	}
	return engines
}

// runSession sends the requests of a session, one after the other, to the gateway that its connection is
// open to.
func (b *bed) runSession(ctx context.Context, number int) {
	client := standin.NewClient(siteHost, false)
	address := b.gateways[number%len(b.gateways)].callers
	time.Sleep(time.Duration(number) * sessionPause / sessions)
	failures := 0
	for i := 0; ctx.Err() == nil; i++ {
		resp := client.Do(context.Background(), standin.Request{
			ID: fmt.Sprintf("%02d-%04d", number, i), Method: "GET", Path: fmt.Sprintf("/status/s%02d", number), Address: address, Key: siteKey,
			Deadline: 3 * time.Second, Header: map[string]string{"Session": fmt.Sprintf("session-%02d", number)},
		})
		if resp.Status != 200 || resp.Incomplete {
			failures++
			b.note("session %02d request %04d: status %d, %v", number, i, resp.Status, resp.Err)
		}
		time.Sleep(sessionPause)
	}
}

// countMoves returns the number of requests that ran, against the rule, on another version than the one
// before in their session: on the new one in the first half of its roll-out, or on the old one though the
// new one is good. ordered and repeated are when the order was written first and last.
func (b *bed) countMoves(engines []*standin.Engine, ordered, repeated time.Time) int {
	var runs []run
	for _, e := range engines {
		for _, r := range e.Runs() {
			runs = append(runs, run{session: r.Header.Get("Session"), version: r.Version, at: r.At})
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	before := make(map[string]run)
	moves := 0
	for _, r := range runs {
		last, known := before[r.session]
		before[r.session] = r
		if !known || last.version == r.version || r.at.Sub(last.at) >= sessionTime {
			continue
		}
		backward := r.version == oldVersion
		early := r.version == newVersion && r.at.Before(ordered.Add(orderDuration/2))
		if backward || early {
			moves++
			b.note("%s: run on %s %.3f s after one on %s, %.3f s after the order was written last",
				r.session, r.version, r.at.Sub(last.at).Seconds(), last.version, r.at.Sub(repeated).Seconds())
		}
	}
	return moves
}
