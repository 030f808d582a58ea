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
	// ErrUnreachable reports that a peer didn't respond, or not completely.
	ErrUnreachable = namespace.NewType("unreachable")
	// ErrRefused reports that a peer responded with a status of 300 or more.
	ErrRefused = namespace.NewType("refused")
	// ErrMalformed reports a message that can't be encoded or decoded, or an
	// invalid address.
	ErrMalformed = namespace.NewType("malformed")
	// ErrUnknown reports a VM that is not in the book.
	ErrUnknown = namespace.NewType("unknown_vm")
)

// Paths of the messages about documents and limits.
const (
	pathDigest = "/peer/v1/digest"
	pathBody   = "/peer/v1/body/"
	pathLimits = "/peer/v1/limits"
)

// maxMessageBytes bounds all messages except documents, which document.MaxBytes
// bounds.
const maxMessageBytes = 1 << 20

// Client sends messages to other entry VMs. It implements revision.Directory. It
// sets no timeouts: the caller's context bounds each call.
type Client struct {
	// Scheme is "http" or "https".
	Scheme string
	// Token is the shared token that authenticates the requests.
	Token []byte
	// Book has the addresses of the VMs.
	Book *Book
	// Transport sends the requests.
	Transport http.RoundTripper
}

// Peers implements revision.Directory.
func (c *Client) Peers() []revision.NodeID {
	return c.Book.Others()
}

// Peer implements revision.Directory.
func (c *Client) Peer(id revision.NodeID) revision.Peer {
	return &revisionPeer{client: c, id: vm.ID(id)}
}

// revisionPeer implements revision.Peer for one other entry VM.
type revisionPeer struct {
	client *Client
	id     vm.ID
}

// Exchange implements revision.Peer.
func (r *revisionPeer) Exchange(ctx context.Context, d revision.Digest) (revision.Digest, error) {
	var response revision.Digest
	err := r.client.call(ctx, r.id, pathDigest, d, &response)
	return response, err
}

// Fetch implements revision.Peer.
func (r *revisionPeer) Fetch(ctx context.Context, hash revision.Hash) ([]byte, error) {
	return r.client.send(ctx, r.id, http.MethodGet, pathBody+string(hash), nil, document.MaxBytes)
}

// SendLimitReport sends a VM a report on the demand of client accounts at this one.
// Errors: ErrUnreachable, ErrRefused, ErrMalformed, ErrUnknown.
func (c *Client) SendLimitReport(ctx context.Context, id vm.ID, report limit.Report) error {
	return c.call(ctx, id, pathLimits, report, nil)
}

// call posts a message as JSON and decodes the response, unless response is nil.
func (c *Client) call(ctx context.Context, id vm.ID, path string, message, response any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return ErrMalformed.Wrap(err, "encode message to VM %q", id)
	}
	reply, err := c.send(ctx, id, http.MethodPost, path, body, maxMessageBytes)
	if err != nil || response == nil {
		return err
	}
	if err := json.Unmarshal(reply, response); err != nil {
		return ErrMalformed.Wrap(err, "decode response of VM %q", id)
	}
	return nil
}

// send makes a request and returns the body of its response, decompressed. The body
// may have up to maxBytes, as it was sent and decompressed.
func (c *Client) send(ctx context.Context, id vm.ID, method, path string, body []byte, maxBytes int64) ([]byte, error) {
	address, ok := c.Book.Address(id)
	if !ok {
		return nil, ErrUnknown.New("VM %q is not in the address book", id)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.Scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "create request to VM %q", id)
	}
	req.Header.Set("Authorization", "Bearer "+string(c.Token))
	req.Header.Set("Accept-Encoding", encodingGzip)
	resp, err := c.Transport.RoundTrip(req)
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "send request to VM %q", id)
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "read response of VM %q", id)
	}
	if int64(len(reply)) > maxBytes {
		return nil, ErrMalformed.New("response of VM %q is longer than %d bytes", id, maxBytes)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, ErrRefused.New("VM %q responded with status %s", id, resp.Status)
	}
	if resp.Header.Get("Content-Encoding") == encodingGzip {
		return unpack(reply, maxBytes)
	}
	return reply, nil
}
