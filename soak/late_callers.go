package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

const (
	// slowPath is the prefix of the paths of orders that upstreams take up to slowOrder for.
	slowPath  = "/o/slow-"
	slowOrder = 3 * time.Second
	// A late caller pauses for up to maxBodyPause in the middle of a third of its bodies, and for up
	// to maxThinkTime between two requests. VMs keep connections for longer than that.
	maxBodyPause = 4 * time.Second
	maxThinkTime = 300 * time.Millisecond
	// maxIdlePause is the longest time for which a caller leaves its connection unused in runs with idle callers.
	maxIdlePause = 6 * time.Second
	// answerTimeout is how long it waits for the answer.
	answerTimeout = 12 * time.Second
	// reconnectDelay is the pause after a VM could not be reached.
	reconnectDelay = 50 * time.Millisecond
	// crossingTime is how long before the end of a process a request may be sent that it does not read.
	crossingTime = 150 * time.Millisecond
)

// lateCaller is a caller that sends orders, some of them slowly, on one connection. It opens the
// connection again when the VM ends it.
type lateCaller struct {
	traffic *trafficGenerator
	rng     *rand.Rand
	number  int
	sent    int
	vm      *VM
	conn    net.Conn
	reader  *bufio.Reader
	// usedAt is when the connection was opened or last used.
	usedAt time.Time
	// maxIdle is how long it leaves its connection unused at most, as far as the idle limit allows; 0 for maxThinkTime.
	maxIdle time.Duration
}

// runLateCallers runs callers until ctx ends, and waits for their last answers. With idle, half of them leave their
// connections unused for nearly as long as they may.
func (g *trafficGenerator) runLateCallers(ctx context.Context, callers int, idle bool, seed uint64) {
	done := make(chan struct{}, callers)
	for i := range callers {
		c := &lateCaller{traffic: g, number: i, rng: rand.New(rand.NewPCG(seed, lateCallerStream+uint64(i)))}
		if idle && i%2 == 0 {
			c.maxIdle = maxIdlePause
		}
		go func() {
			c.run(ctx)
			done <- struct{}{}
		}()
	}
	for range callers {
		<-done
	}
}

// lateCallerStream is the first of the random sequences of late callers.
const lateCallerStream = 1000

// run sends requests until ctx ends.
func (c *lateCaller) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if !c.connect() {
			sleep(ctx, reconnectDelay)
			continue
		}
		c.send()
		c.think(ctx)
	}
}

// think waits before the next request.
func (c *lateCaller) think(ctx context.Context) {
	if c.maxIdle == 0 || c.conn == nil {
		sleep(ctx, time.Duration(c.rng.Int64N(int64(maxThinkTime))))
		return
	}
	c.traffic.testbed.idleUntil(ctx, c.usedAt, c.maxIdle, DefaultBounds().Config)
}

// connect opens a connection to a random VM unless one is open, and reports whether one is.
func (c *lateCaller) connect() bool {
	if c.conn != nil {
		return true
	}
	c.vm = c.traffic.testbed.vms[c.rng.IntN(len(c.traffic.testbed.vms))]
	c.usedAt = time.Now()
	conn, err := net.DialTimeout("tcp", c.vm.Callers, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *lateCaller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one order and records the exchange.
func (c *lateCaller) send() {
	c.sent++
	x := exchange{id: fmt.Sprintf("late-%d-%d", c.number, c.sent), key: permanentKey, kind: orderRequest, vm: c.vm, connectedAt: c.usedAt}
	x.path = "/o/" + x.id
	if c.rng.IntN(4) == 0 {
		x.path = slowPath + x.id
	}
	x.process, x.sentAt = c.vm.processName(), time.Now()
	_ = c.conn.SetDeadline(x.sentAt.Add(answerTimeout))
	writeErr := c.write(x)
	if writeErr == nil {
		x.wholeAt = time.Now()
	}
	x.response = c.read()
	x.doneAt = time.Now()
	c.usedAt = x.doneAt
	if writeErr != nil && x.response.Incomplete {
		// The VM ended the connection before it had the whole request.
		c.disconnect()
		return
	}
	c.traffic.record(x)
}

// write writes the request, in a third of all cases with a pause in the middle of the body.
func (c *lateCaller) write(x exchange) error {
	body := x.requestBody()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		x.path, siteHost, x.id, answerTimeout.Milliseconds(), x.key, len(body))
	if c.rng.IntN(3) > 0 {
		_, err := io.WriteString(c.conn, head+body)
		return err
	}
	if _, err := io.WriteString(c.conn, head+body[:1]); err != nil {
		return err
	}
	time.Sleep(time.Duration(c.rng.Int64N(int64(maxBodyPause))))
	_, err := io.WriteString(c.conn, body[1:])
	return err
}

// read reads the answer, and disconnects unless the VM keeps the connection.
func (c *lateCaller) read() standin.Response {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		c.disconnect()
		return standin.Response{Incomplete: true, Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.disconnect()
	}
	return standin.Response{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Incomplete: err != nil, Err: err}
}

// isSlow reports whether orders with the path take some time.
func isSlow(path string) bool { return strings.HasPrefix(path, slowPath) }

// takeTime makes an order with slowPath take some time, unless its VM leaves.
func takeTime(r *http.Request) {
	if isSlow(r.URL.Path) {
		sleep(r.Context(), time.Duration(rand.Int64N(int64(slowOrder))))
	}
}

// checkAnswered checks that a whole request of a late caller was answered unless its VM failed since its
// connection was last used. One that crosses the end of the process and is not passed on may go without.
func (c *checker) checkAnswered(x exchange) {
	if x.wholeAt.IsZero() || !x.response.Incomplete {
		return
	}
	if !x.vm.disturbances.noneOverlap(x.connectedAt, x.doneAt) || !x.vm.cuts.noneOverlap(x.connectedAt, x.doneAt) {
		return
	}
	if c.runs[x.id] == nil && x.vm.endedWithin(x.wholeAt, x.doneAt.Add(crossingTime)) && x.doneAt.Sub(x.wholeAt) < crossingTime {
		return
	}
	c.addViolation("%s at %s: whole request, sent at %s and passed on %d times, ended without an answer after %s: %v",
		x.id, x.process, x.sentAt.Format(time.StampMilli), len(c.runs[x.id]), x.doneAt.Sub(x.wholeAt), x.response.Err)
}
