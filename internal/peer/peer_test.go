package peer_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/internal/peer"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/vm"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

var _ = Describe("transfer of a document between entry VMs", func() {
	const token = "token-of-the-test"

	// startServer starts the server of VM "a" and returns its node and a client of
	// VM "b".
	startServer := func() (*revision.Node, *peer.Client) {
		clock := clockwork.NewFakeClock()
		node := revision.NewNode(revision.Options{ID: "a", Clock: clock})
		limiter := limit.New(limit.DefaultOptions("a", "life"))
		server := httptest.NewServer(peer.NewServer([]byte(token), node, nil, limiter, clock))
		DeferCleanup(server.Close)
		book := peer.NewBook("b")
		book.Set(map[vm.ID]string{"a": strings.TrimPrefix(server.URL, "http://")})
		return node, &peer.Client{Scheme: "http", Token: []byte(token), Book: book, Transport: http.DefaultTransport}
	}

	It("delivers the document unchanged, and compresses it to less than half", func() {
		node, client := startServer()
		hash := revision.HashOf(examples.Hsinchu)
		Expect(node.Install(revision.Revision{Number: 1, Hash: hash}, examples.Hsinchu)).To(BeTrue())
		Expect(client.Peer("a").Fetch(context.Background(), hash)).To(Equal(examples.Hsinchu))
		Expect(len(peer.Pack(examples.Hsinchu))).To(BeNumerically("<", len(examples.Hsinchu)/2))
	})

	It("rejects a response that is longer than a document may be, in place of its beginning", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(bytes.Repeat([]byte(" "), document.MaxBytes+1))
		}))
		DeferCleanup(server.Close)
		book := peer.NewBook("b")
		book.Set(map[vm.ID]string{"a": strings.TrimPrefix(server.URL, "http://")})
		client := &peer.Client{Scheme: "http", Book: book, Transport: http.DefaultTransport}
		_, err := client.Peer("a").Fetch(context.Background(), "x")
		Expect(errorx.IsOfType(err, peer.ErrMalformed)).To(BeTrue(), "%v", err)
	})

	// Guards against VMs whose messages, small as they are sent, fill the memory of the others.
	It("rejects a message that is longer than a message may be once it is decompressed", func() {
		const messageBytes = 1 << 20
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = w.Write(peer.Pack(append([]byte("{}"), bytes.Repeat([]byte(" "), messageBytes)...)))
		}))
		DeferCleanup(server.Close)
		book := peer.NewBook("b")
		book.Set(map[vm.ID]string{"a": strings.TrimPrefix(server.URL, "http://")})
		client := &peer.Client{Scheme: "http", Book: book, Transport: http.DefaultTransport}
		_, err := client.Peer("a").Exchange(context.Background(), revision.Digest{})
		Expect(errorx.IsOfType(err, peer.ErrMalformed)).To(BeTrue(), "%v", err)
	})

	It("refuses a client with the wrong token, and rejects a truncated document", func() {
		_, client := startServer()
		client.Token = []byte("other")
		_, err := client.Peer("a").Fetch(context.Background(), "x")
		Expect(err).To(HaveOccurred())
		_, err = peer.Unpack(peer.Pack(examples.Hsinchu)[:100])
		Expect(err).To(HaveOccurred())
	})
})
