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
	"syscall"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

const (
	usualEvents, longEvents = 10, 60
	eventGap                = 100 * time.Millisecond
	uploadBytes             = 12_000
	deadline                = 20 * time.Second
)

// upload is a request whose body takes a while to send, and what became of it. Times are since the stop.
type upload struct {
	id          string
	sent, ended time.Duration
	status      int
	whole       bool
	events      int
	err         error
}

// playSlowUpload stops a gateway by SIGTERM while clients send requests on kept connections, over a slow link: the bodies begin within
// the time in which the gateway takes requests, and end a little later than 3 s after the signal. The answers are longer than those before.
func playSlowUpload(b *bed, binary string, trouble bool) (bool, error) {
	b.configure([]standin.Route{
		{Name: "objection-sum", Host: host, Prefix: "/sum/", Kind: standin.KindStreaming, Service: llmService, TimeoutMS: 20000,
			TargetLatencyMS: 2000, Sizes: []string{"m0"}, MaxAttempts: 3, Resumable: true},
	}, map[string][]string{tenant: {key}})
	for i, zone := range []string{"pampeana-a", "cuyo-a", "noa-a"} {
		b.addEngine(&standin.Engine{ID: fmt.Sprintf("i-%d", i+1), Service: llmService, Zone: zone, Version: "v1", Behave: func(r *http.Request) standin.Behaviour {
			if strings.HasPrefix(r.URL.Path, "/sum/long") {
				return standin.Behaviour{Confidence: 95, Events: longEvents, Gap: eventGap}
			}
			return standin.Behaviour{Confidence: 95, Events: usualEvents, Gap: eventGap}
		}})
	}
	if err := b.startGateways(binary, "pampeana-a"); err != nil {
		return false, err
	}
	g := b.gateways[0]
	b.sendUsual(g)
	conns := make([]*keptConn, 6)
	for i := range conns {
		c, err := openKept(g, strconv.Itoa(i))
		if err != nil {
			return false, err
		}
		defer func() { _ = c.Close() }()
		conns[i] = c
	}
	b.note("%d connections are kept", len(conns))
	stoppedAt := time.Now()
	if trouble {
		g.signal(syscall.SIGTERM)
		b.note("SIGTERM to %s, which has 8 s", g.name)
	}
	uploads := make([]upload, len(conns))
	var wg sync.WaitGroup
	for i := range uploads {
		wg.Go(func() { uploads[i] = conns[i].sendSlowly(fmt.Sprintf("long-%d", i), stoppedAt) })
	}
	wg.Wait()
	runs, lost := b.runsByID(), 0
	for _, u := range uploads {
		b.note("%s: body complete %v after the signal, ended after %v: status %d, %d of %d events, whole %t, error %v; run by %v",
			u.id, u.sent.Round(time.Millisecond), u.ended.Round(time.Millisecond), u.status, u.events, longEvents, u.whole, u.err, runs[u.id])
		if len(runs[u.id]) > 0 && !u.whole && u.ended < u.sent+deadline {
			lost++
		}
	}
	b.note("%d of %d requests that an engine ran ended without a complete answer", lost, len(uploads))
	return lost > 0, nil
}

// sendUsual sends requests with answers of the usual length.
func (b *bed) sendUsual(g *gateway) {
	client := standin.NewClient(host, true)
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			id := fmt.Sprintf("usual-%d", i)
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			resp := client.Do(context.Background(), standin.Request{
				ID: id, Method: http.MethodPost, Path: "/sum/2f", Address: g.callers, Key: key, Body: "objection", Deadline: deadline, HasPrompt: true,
			})
			b.note("sent %s: status %d, whole %t", id, resp.Status, !resp.Incomplete)
		})
	}
	wg.Wait()
}

// keptConn is a connection on which a client has had an answer.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

// openKept opens a connection to a gateway and sends a request of the usual length on it.
func openKept(g *gateway, id string) (*keptConn, error) {
	conn, err := net.Dial("tcp", g.callers)
	if err != nil {
		return nil, err
	}
	c := &keptConn{Conn: conn, reader: bufio.NewReader(conn)}
	if _, err := io.WriteString(c, requestHead("/sum/2f", "before-"+id, 0)); err != nil {
		return c, err
	}
	_, _, err = c.readAnswer()
	return c, err
}

// requestHead returns the head of a request.
func requestHead(path, id string, length int) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\nX-Model: *\r\nX-Token-Usage: 628,300\r\n" +
		"X-Prefix-Hash: aa:119,bb:79,cc:430\r\nX-Deadline-Ms: " + strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\nAuthorization: Bearer " + key +
		"\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

// readAnswer reads an answer, and returns its status and the number of its events.
func (c *keptConn) readAnswer() (status, events int, err error) {
	_ = c.SetReadDeadline(time.Now().Add(deadline))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, 0, err
	}
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.Count(string(answer), "\n\n"), err
}

// sendSlowly sends a request whose body begins 2.5 s after the stop and is complete 3.2 s after it.
func (c *keptConn) sendSlowly(id string, stoppedAt time.Time) upload {
	u := upload{id: id}
	at := func(after time.Duration) { time.Sleep(time.Until(stoppedAt.Add(after))) }
	body := strings.Repeat("o", uploadBytes)
	at(2500 * time.Millisecond)
	_, err := io.WriteString(c, requestHead("/sum/long", id, len(body))+body[:uploadBytes/2])
	if err == nil {
		at(3200 * time.Millisecond)
		_, err = io.WriteString(c, body[uploadBytes/2:])
	}
	u.sent = time.Since(stoppedAt)
	if err == nil {
		u.status, u.events, err = c.readAnswer()
	}
	u.ended, u.err, u.whole = time.Since(stoppedAt), err, err == nil
	return u
}
