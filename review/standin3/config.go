package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

const (
	newService  = "permisos-app-2"
	otherTenant = "mori114"
	otherKey    = "key-of-mori114"
	// configApply is the bound by which a configuration is in force, ConfigApplyMs of the site.
	configApply = 3 * time.Second

	// pieceBytes are sent each pieceGap: a link of 0.4 Mbit/s.
	pieceBytes, pieceGap = 5_000, 100 * time.Millisecond
	// An upload begins uploadLead before the change, and ends uploadTail after its acknowledgement.
	uploadLead, uploadTail = 300 * time.Millisecond, 4500 * time.Millisecond
)

// slowRequest is a request that is sent over a slow link.
type slowRequest struct {
	id, key string
	gateway *gateway
	status  int
	sentAt  time.Time
	err     error
}

// playConfig moves a route to another service and takes a key away while clients send requests over a slow link. Their last bytes are
// sent later than ConfigApplyMs after the change was acknowledged.
func playConfig(b *bed, binary string, trouble bool) (bool, error) {
	issue := standin.Route{Name: "issue", Host: host, Prefix: "/issue/", Kind: standin.KindNonIdempotent, Service: appService, TimeoutMS: 20000,
		TargetLatencyMS: 400, MaxAttempts: 1}
	b.configure([]standin.Route{issue}, map[string][]string{tenant: {key}, otherTenant: {otherKey}})
	for i, zone := range []string{"pampeana-a", "cuyo-a", "noa-a"} {
		b.addEngine(&standin.Engine{ID: fmt.Sprintf("old-%d", i+1), Service: appService, Zone: zone, Version: "v1"})
		b.addEngine(&standin.Engine{ID: fmt.Sprintf("new-%d", i+1), Service: newService, Zone: zone, Version: "v1"})
	}
	if err := b.startGateways(binary, "pampeana-a", "cuyo-a"); err != nil {
		return false, err
	}
	changeAt := time.Now().Add(time.Second)
	requests := make([]slowRequest, 8)
	var wg sync.WaitGroup
	for i := range requests {
		requests[i] = slowRequest{id: fmt.Sprintf("slow-%d", i), key: []string{key, otherKey}[i/2%2], gateway: b.gateways[i%2]}
		wg.Go(func() { requests[i].send(changeAt) })
	}
	time.Sleep(time.Until(changeAt))
	if trouble {
		issue.Service = newService
		b.configure([]standin.Route{issue}, map[string][]string{tenant: {key}, otherTenant: {}})
		b.note("acknowledged: version %d moves /issue/ to %s and takes the key of %s away", b.version, newService, otherTenant)
	}
	acknowledgedAt := time.Now()
	time.Sleep(time.Until(acknowledgedAt.Add(configApply + 200*time.Millisecond)))
	b.sendAtOnce()
	wg.Wait()
	runs, stale := b.runsByID(), 0
	for _, r := range requests {
		after := r.sentAt.Sub(acknowledgedAt)
		b.note("%s of %s at %s: last byte sent %v after the acknowledgement, status %d, error %v; run by %v",
			r.id, r.key, r.gateway.name, after.Round(time.Millisecond), r.status, r.err, runs[r.id])
		if trouble && after > configApply && len(runs[r.id]) > 0 && (r.key == otherKey || strings.HasPrefix(runs[r.id][0], "old-")) {
			stale++
		}
	}
	b.note("%d of %d requests were run as only the older version allows", stale, len(requests))
	return stale > 0, nil
}

// sendAtOnce sends requests without delay to each gateway, which show the configuration in force.
func (b *bed) sendAtOnce() {
	client := standin.NewClient(host, true)
	for i, k := range []string{key, otherKey, key, otherKey} {
		g := b.gateways[i/2]
		resp := client.Do(context.Background(), standin.Request{
			ID: fmt.Sprintf("fast-%d", i), Method: http.MethodPost, Path: "/issue/2f", Address: g.callers, Key: k, Body: "permit", Deadline: 6 * time.Second,
		})
		b.note("fast-%d of %s at %s: status %d, seal %q", i, k, g.name, resp.Status, resp.Seal())
	}
}

// send sends the request in pieces.
func (r *slowRequest) send(changeAt time.Time) {
	time.Sleep(time.Until(changeAt.Add(-uploadLead)))
	conn, err := net.Dial("tcp", r.gateway.callers)
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	pieces := int((uploadLead + uploadTail) / pieceGap)
	piece := strings.Repeat("p", pieceBytes)
	_, err = io.WriteString(conn, "POST /issue/2f HTTP/1.1\r\nHost: "+host+"\r\nAuthorization: Bearer "+r.key+"\r\nX-Attempt-Id: "+r.id+
		"\r\nX-Deadline-Ms: 20000\r\nContent-Length: "+strconv.Itoa(pieces*pieceBytes)+"\r\n\r\n")
	for i := 0; i < pieces && err == nil; i++ {
		time.Sleep(pieceGap)
		_, err = io.WriteString(conn, piece)
	}
	r.sentAt = time.Now()
	if err != nil {
		r.err = err
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(deadline))
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		r.err = err
		return
	}
	r.status = resp.StatusCode
	_, r.err = io.Copy(io.Discard, resp.Body)
}
