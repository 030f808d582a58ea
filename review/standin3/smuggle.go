package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

const appService = "permisos-app"

// playSmuggle sends requests whose bodies hold the text of another request. With trouble, their heads name both a length, which
// covers the whole body, and chunks, by which the body is empty.
func playSmuggle(b *bed, binary string, trouble bool) (bool, error) {
	b.configure([]standin.Route{
		{Name: "status", Host: host, Prefix: "/status/", Kind: standin.KindIdempotent, Service: appService, TimeoutMS: 6000, TargetLatencyMS: 400, MaxAttempts: 2},
		{Name: "issue", Host: host, Prefix: "/issue/", Kind: standin.KindNonIdempotent, Service: appService, TimeoutMS: 6000, TargetLatencyMS: 400, MaxAttempts: 1},
	}, map[string][]string{tenant: {key}})
	for i, zone := range []string{"pampeana-a", "cuyo-a", "noa-a"} {
		b.addEngine(&standin.Engine{ID: fmt.Sprintf("a-%d", i+1), Service: appService, Zone: zone, Version: "v1"})
	}
	if err := b.startGateways(binary, "pampeana-a", "cuyo-a"); err != nil {
		return false, err
	}
	var inner []string
	for i := range 10 {
		id := fmt.Sprintf("inner-%d", i)
		inner = append(inner, id)
		answers, err := sendWithInner(b.gateways[i%2], fmt.Sprintf("outer-%d", i), id, trouble)
		if err != nil {
			return false, err
		}
		b.note("sent outer-%d to %s with the text of %s in its body: answers %v", i, b.gateways[i%2].name, id, answers)
	}
	runs, smuggled := b.runsByID(), 0
	for i, id := range inner {
		b.note("outer-%d was run by %v, %s by %v", i, runs[fmt.Sprintf("outer-%d", i)], id, runs[id])
		if len(runs[id]) > 0 {
			smuggled++
		}
	}
	b.note("%d of %d requests inside another request were run", smuggled, len(inner))
	return smuggled > 0, nil
}

// sendWithInner sends a request with the text of another one in its body, and returns the statuses of the answers that come.
func sendWithInner(g *gateway, outerID, innerID string, bothLengths bool) ([]int, error) {
	conn, err := net.Dial("tcp", g.callers)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	fields := "Host: " + host + "\r\nAuthorization: Bearer " + key + "\r\nX-Deadline-Ms: 6000\r\n"
	body := "POST /issue/2f HTTP/1.1\r\n" + fields + "X-Attempt-Id: " + innerID + "\r\nContent-Length: 0\r\n\r\n"
	encoding := ""
	if bothLengths {
		encoding, body = "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"+body
	}
	head := "POST /status/2f HTTP/1.1\r\n" + fields + "X-Attempt-Id: " + outerID + "\r\n" + fmt.Sprintf("Content-Length: %d\r\n", len(body)) + encoding + "\r\n"
	if _, err := io.WriteString(conn, head+body); err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	var statuses []int
	for reader := bufio.NewReader(conn); ; {
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			return statuses, nil
		}
		var text strings.Builder
		if _, err := io.Copy(&text, resp.Body); err != nil {
			return statuses, nil
		}
		statuses = append(statuses, resp.StatusCode)
	}
}
