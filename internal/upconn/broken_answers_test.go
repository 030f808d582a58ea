package upconn_test

import (
	"context"
	"net"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/standin/rawserver"
)

// startRaw starts a server that sends the text, with CRLF line ends, to each request. It leaves its connections open.
func startRaw(t *testing.T, text string) *rawserver.Server {
	server, err := rawserver.Listen(rawserver.Lines(text))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	return server
}

// expectBroken expects that requests to a server that sends the text fail as broken, not by a timeout or a lost connection, and
// that no two use the same connection.
func expectBroken(t *testing.T, text string) {
	t.Helper()
	g := NewWithT(t)
	server := startRaw(t, text)
	p := upconn.NewPool(upconn.DefaultOptions())
	for _, id := range []string{"1", "2"} {
		call := newCall(server.Address(), id)
		call.HeaderTimeout = cutTimeout
		resp, err := p.Do(context.Background(), call)
		if err == nil {
			_, err = readBody(resp)
			resp.Close()
		}
		g.Expect(errorx.IsOfType(err, upconn.ErrBroken)).To(BeTrue(), "%q: %v", text, err)
		g.Expect(errorx.IsOfType(err, upconn.ErrConnectionLost)).To(BeFalse(), "%q: %v", text, err)
	}
	g.Expect(server.Requests()).To(Equal(2))
	g.Expect(server.Reused()).To(BeZero(), "%q", text)
}

// TestAnswerWithoutStatusOfHTTPIsBroken guards against answers whose status is none: those under 200 were skipped, and the bytes
// after their head were read as another answer. A stale answer like that can't be skipped either.
func TestAnswerWithoutStatusOfHTTPIsBroken(t *testing.T) {
	for _, status := range rawserver.InvalidStatuses() {
		for _, id := range []string{"1", "2", "stale"} {
			head := "HTTP/1.1 " + status + "\nId: " + id + "\n"
			expectBroken(t, head+"\n"+okResponse("1", "foreign")+okResponse("2", "foreign"))
			expectBroken(t, head+"Content-Length: 4\n\nbody")
		}
	}
}

// TestInformationalAnswerWithBodyIsBroken guards against a body that is read as the next answer.
func TestInformationalAnswerWithBodyIsBroken(t *testing.T) {
	foreign := okResponse("1", "foreign")
	expectBroken(t, "HTTP/1.1 150 Odd\nContent-Length: 60\n\n"+foreign+foreign)
}

// TestBytesThatBeginNoAnswerAreBrokenAtOnce guards against a wait for the rest of a line that is none, on a connection left open.
func TestBytesThatBeginNoAnswerAreBrokenAtOnce(t *testing.T) {
	for _, start := range []string{"b", "body", "HTML", "http/1.1 200", " HTTP/1.1 200", "\n", "\x00", "HTTP 200"} {
		expectBroken(t, start)
		expectBroken(t, "HTTP/1.1 103 Early Hints\n\n"+start)
		expectBroken(t, "HTTP/1.1 200 OK\nId: stale\nContent-Length: 0\n\n"+start)
	}
}

// TestAnswerWithOddFieldNameIsBroken guards against a name that holds a blank, which hides the length or the coding of the body, in
// any head and in the trailer.
func TestAnswerWithOddFieldNameIsBroken(t *testing.T) {
	const chunks = "4\nbody\n0\n"
	for _, line := range rawserver.InvalidFields() {
		for _, id := range []string{"1", "2", "stale"} {
			head := "HTTP/1.1 200 OK\nId: " + id + "\n"
			expectBroken(t, head+line+"\nContent-Length: 4\n\nbody")
			expectBroken(t, "HTTP/1.1 103 Early Hints\n"+line+"\n\n"+head+"Content-Length: 4\n\nbody")
			expectBroken(t, head+"Transfer-Encoding: chunked\n\n"+chunks+line+"\n\n")
		}
	}
}

// TestConnectionIsNotReusedAfterOddTrailer guards the same where the rest of a rejection's body is dropped.
func TestConnectionIsNotReusedAfterOddTrailer(t *testing.T) {
	g := NewWithT(t)
	server := startRaw(t, "HTTP/1.1 503 Unavailable\nTransfer-Encoding: chunked\n\n0\nX-Sum : 1\n\n")
	p := upconn.NewPool(upconn.DefaultOptions())
	for _, id := range []string{"1", "2"} {
		call := newCall(server.Address(), id)
		call.HeaderTimeout, call.ResponseID = cutTimeout, nil
		resp, err := p.Do(context.Background(), call)
		g.Expect(err).NotTo(HaveOccurred())
		resp.Drain(1<<10, cutTimeout)
		resp.Close()
	}
	g.Expect(server.Requests()).To(Equal(2))
	g.Expect(server.Reused()).To(BeZero())
}

const (
	// uploadBytes is the length of a body that no socket takes at once.
	uploadBytes = 4 << 20
	// uploadRuns is the number of uploads whose write and read are raced against each other.
	uploadRuns = 50
)

// upload sends a long request over a connection that the server ends after an answer without a length, and returns what came.
func upload(t *testing.T, end rawserver.Upload) (string, error) {
	opts := upconn.DefaultOptions()
	opts.Dial = func(context.Context, string, string) (net.Conn, error) {
		return rawserver.NewConn("HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart", end), nil
	}
	call := newCall("upstream", "1")
	call.HeaderTimeout, call.Request.Body = cutTimeout, make([]byte, uploadBytes)
	resp, err := upconn.NewPool(opts).Do(context.Background(), call)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer resp.Close()
	body, err := readBody(resp)
	if err == nil {
		// The end is that of later reads, too.
		again, err := readBody(resp)
		return body + again, err
	}
	return body, err
}

// TestAnswerWithoutLengthIsBrokenIfUploadWasNotTaken guards against a part of an answer that looks whole: the upstream reset the
// connection, and the write of the request learned that in place of the read.
func TestAnswerWithoutLengthIsBrokenIfUploadWasNotTaken(t *testing.T) {
	for name, end := range map[string]rawserver.Upload{"write failed": rawserver.UploadReset, "write goes on": rawserver.UploadStuck} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for range uploadRuns {
				_, err := upload(t, end)
				g.Expect(errorx.IsOfType(err, upconn.ErrConnectionLost)).To(BeTrue(), "%v", err)
			}
		})
	}
}

// TestAnswerWithoutLengthIsWholeIfUploadWasTaken guards sound answers to long requests.
func TestAnswerWithoutLengthIsWholeIfUploadWasTaken(t *testing.T) {
	g := NewWithT(t)
	for range uploadRuns {
		g.Expect(upload(t, rawserver.UploadTaken)).To(Equal("part"))
	}
}
