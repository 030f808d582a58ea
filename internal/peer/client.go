package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/vm"
)

var namespace = errorx.NewNamespace("peer")

var (
	// ErrUnreachable reports that a peer did not answer.
	ErrUnreachable = namespace.NewType("unreachable")
	// ErrRefused reports that a peer answered with an error status.
	ErrRefused = namespace.NewType("refused")
	// ErrMalformed reports a message that can't be read.
	ErrMalformed = namespace.NewType("malformed")
	// ErrUnknown reports a VM that is not in the book.
	ErrUnknown = namespace.NewType("unknown_vm")
)

// Paths of the peers' protocol.
const (
	pathDigest = "/peer/v1/digest"
	pathBody   = "/peer/v1/body/"
	pathLimits = "/peer/v1/limits"
)

// maxMessageBytes bounds every message but documents.
const maxMessageBytes = 1 << 20

// Client calls other entry VMs.
type Client struct {
	// Scheme is "http" or "https".
	Scheme string
	Token  []byte
	Book   *Book
	Via    http.RoundTripper
}

// Peers implements revision.Directory.
func (c *Client) Peers() []revision.NodeID {
	return c.Book.Others()
}

// Peer implements revision.Directory.
func (c *Client) Peer(id revision.NodeID) revision.Peer {
	return &remote{client: c, id: vm.ID(id)}
}

// remote is one other entry VM.
type remote struct {
	client *Client
	id     vm.ID
}

// Exchange implements revision.Peer.
func (r *remote) Exchange(ctx context.Context, d revision.Digest) (revision.Digest, error) {
	var answer revision.Digest
	err := r.client.call(ctx, r.id, pathDigest, d, &answer)
	return answer, err
}

// Fetch implements revision.Peer.
func (r *remote) Fetch(ctx context.Context, hash revision.Hash) ([]byte, error) {
	return r.client.send(ctx, r.id, http.MethodGet, pathBody+string(hash), nil, document.MaxBytes)
}

// Limits tells a VM what client accounts ask of this one.
func (c *Client) Limits(ctx context.Context, id vm.ID, report limit.Report) error {
	return c.call(ctx, id, pathLimits, report, nil)
}

// call posts a message and reads the answer, if one is expected.
func (c *Client) call(ctx context.Context, id vm.ID, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return ErrMalformed.Wrap(err, "message to %q", id)
	}
	reply, err := c.send(ctx, id, http.MethodPost, path, body, maxMessageBytes)
	if err != nil || answer == nil {
		return err
	}
	if err := json.Unmarshal(reply, answer); err != nil {
		return ErrMalformed.Wrap(err, "answer of %q", id)
	}
	return nil
}

func (c *Client) send(ctx context.Context, id vm.ID, method, path string, body []byte, most int64) ([]byte, error) {
	address, ok := c.Book.Address(id)
	if !ok {
		return nil, ErrUnknown.New("VM %q is not known", id)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.Scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "address of %q", id)
	}
	req.Header.Set("Authorization", "Bearer "+string(c.Token))
	req.Header.Set("Accept-Encoding", encodingGzip)
	resp, err := c.Via.RoundTrip(req)
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "VM %q", id)
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, most))
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "VM %q", id)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, ErrRefused.New("VM %q answered %s", id, resp.Status)
	}
	if resp.Header.Get("Content-Encoding") == encodingGzip {
		return Unpack(reply)
	}
	return reply, nil
}
