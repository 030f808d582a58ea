package soak_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/soak"
)

// TestLostConnectionsCarryNothingWhileNewOnesWork guards against runs in which lost connections end or go on.
func TestLostConnectionsCarryNothingWhileNewOnesWork(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
	defer server.Close()
	link, err := soak.NewLink(strings.TrimPrefix(server.URL, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer link.Close()
	ask := func(conn net.Conn) error {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		return err
	}
	open, err := net.Dial("tcp", link.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = open.Close() }()
	g.Expect(ask(open)).To(Succeed())
	link.LoseConnections()
	g.Expect(ask(open)).To(MatchError(ContainSubstring("timeout")))
	later, err := net.Dial("tcp", link.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = later.Close() }()
	g.Expect(ask(later)).To(Succeed())
}
