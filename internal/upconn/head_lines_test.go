package upconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/upconn"
)

// TestHeadOfManyLinesIsNotKept guards against heads that are within the limit of their size, and cost many times that
// in memory by their lines.
func TestHeadOfManyLinesIsNotKept(t *testing.T) {
	g := NewWithT(t)
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n")
	for n := range 8000 {
		head.WriteString(strconv.Itoa(n) + ":\r\n")
	}
	head.WriteString("\r\n")
	address := startUpstream(t, func(_ int, _ *http.Request, c net.Conn) { _, _ = io.WriteString(c, head.String()) })
	_, err := upconn.NewPool(upconn.DefaultOptions()).Do(context.Background(), newCall(address, "1"))
	g.Expect(errorx.IsOfType(err, upconn.ErrBroken)).To(BeTrue(), "error: %v", err)
	g.Expect(errorx.IsOfType(err, upconn.ErrConnectionLost)).To(BeFalse(), "error: %v", err)
}

// TestLinesOfBodyAreNoLinesOfHead guards against sound responses whose body, of many lines, comes with the head.
func TestLinesOfBodyAreNoLinesOfHead(t *testing.T) {
	g := NewWithT(t)
	body := strings.Repeat("\n", 20_000)
	const informational = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	address := startUpstream(t, func(_ int, _ *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, informational+"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	})
	resp, err := upconn.NewPool(upconn.DefaultOptions()).Do(context.Background(), newCall(address, "1"))
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Close()
	g.Expect(readBody(resp)).To(Equal(body))
}
