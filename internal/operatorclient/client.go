// Package operatorclient calls the operators' interface of entry VMs.
package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/document/edit"
	"github.com/poplarshore/poplarshore/internal/operator"
)

var namespace = errorx.NewNamespace("operatorclient")

var (
	// ErrUnreachable reports that no VM answered. Whether a change was made is
	// unknown; repeat it with the same operation id.
	ErrUnreachable = namespace.NewType("unreachable")
	// ErrConflict reports that another operator changed the document first.
	ErrConflict = namespace.NewType("conflict")
	// ErrUnknown reports that a change may or may not have been accepted.
	ErrUnknown = namespace.NewType("unknown")
	// ErrUnavailable reports that the platform's store did not answer; nothing
	// was accepted.
	ErrUnavailable = namespace.NewType("unavailable")
	// ErrRefused reports a request that the VM refused for good.
	ErrRefused = namespace.NewType("refused")
	// ErrInvalid reports a document or an edit with faults.
	ErrInvalid = namespace.NewType("invalid")
)

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 32 << 20

// Client calls one environment through any of its VMs.
type Client struct {
	// URLs are the base URLs of VMs' operator ports, tried in order.
	URLs  []string
	Token string
	HTTP  *http.Client
}

// Document is a document with its revision.
type Document struct {
	Number uint64
	Hash   string
	// Proof is the trial environment's signature, or empty.
	Proof string
	Body  []byte
}

// Proposal is a document to be accepted.
type Proposal struct {
	Base      uint64
	Body      []byte
	Operation string
	Author    string
	Proof     string
	// Reinstate lists withdrawn versions that may come back.
	Reinstate []string
}

// Document returns the document in force.
func (c *Client) Document(ctx context.Context) (Document, error) {
	body, header, err := c.do(ctx, http.MethodGet, "/operator/v1/document", nil, nil)
	if err != nil {
		return Document{}, err
	}
	number, _ := strconv.ParseUint(header.Get(operator.HeaderRevision), 10, 64)
	return Document{
		Number: number, Hash: header.Get(operator.HeaderHash), Proof: header.Get(operator.HeaderProof), Body: body,
	}, nil
}

// Propose makes a document the next revision.
func (c *Client) Propose(ctx context.Context, p Proposal) (operator.Acceptance, error) {
	header := map[string]string{
		operator.HeaderBase:      strconv.FormatUint(p.Base, 10),
		operator.HeaderOperation: p.Operation,
		operator.HeaderAuthor:    p.Author,
		operator.HeaderProof:     p.Proof,
		operator.HeaderReinstate: strings.Join(p.Reinstate, ","),
	}
	var accepted operator.Acceptance
	err := c.call(ctx, http.MethodPost, "/operator/v1/document", p.Body, header, &accepted)
	return accepted, err
}

// Edit makes a small change to the document in force.
func (c *Client) Edit(ctx context.Context, e edit.Edit, operation, author string) (operator.Acceptance, error) {
	body, err := json.Marshal(e)
	if err != nil {
		return operator.Acceptance{}, ErrInvalid.Wrap(err, "edit")
	}
	header := map[string]string{operator.HeaderOperation: operation, operator.HeaderAuthor: author}
	var accepted operator.Acceptance
	err = c.call(ctx, http.MethodPost, "/operator/v1/edit", body, header, &accepted)
	return accepted, err
}

// InForce returns which VMs confirmed a revision.
func (c *Client) InForce(ctx context.Context, number uint64) (revision.InForce, error) {
	var in revision.InForce
	err := c.call(ctx, http.MethodGet, "/operator/v1/in-force/"+strconv.FormatUint(number, 10), nil, nil, &in)
	return in, err
}

// History returns the newest revisions, oldest first.
func (c *Client) History(ctx context.Context) ([]revision.Revision, error) {
	var revisions []revision.Revision
	err := c.call(ctx, http.MethodGet, "/operator/v1/history", nil, nil, &revisions)
	return revisions, err
}

// Raw returns the JSON at a path.
func (c *Client) Raw(ctx context.Context, path string) (json.RawMessage, error) {
	body, _, err := c.do(ctx, http.MethodGet, path, nil, nil)
	return body, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, header map[string]string, dst any) error {
	reply, _, err := c.do(ctx, method, path, body, header)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(reply, dst); err != nil {
		return ErrUnknown.Wrap(err, "answer to %s", path)
	}
	return nil
}

// do asks the VMs in turn until one answers. A change is safe to repeat at
// another VM, as it bears an operation id.
func (c *Client) do(ctx context.Context, method, path string, body []byte, header map[string]string) ([]byte, http.Header, error) {
	err := error(ErrUnreachable.New("no address of a VM is given"))
	for _, base := range c.URLs {
		var reply []byte
		var answered http.Header
		reply, answered, err = c.one(ctx, method, base+path, body, header)
		if err == nil || !errorx.IsOfType(err, ErrUnreachable) {
			return reply, answered, err
		}
	}
	return nil, nil, err
}

func (c *Client) one(ctx context.Context, method, url string, body []byte, header map[string]string) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, ErrRefused.Wrap(err, "address")
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	for name, value := range header {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, nil, ErrUnreachable.Wrap(err, "call")
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, nil, ErrUnreachable.Wrap(err, "answer")
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		return reply, resp.Header, nil
	}
	return nil, nil, problem(resp.StatusCode, reply)
}

// problem turns an error answer into a typed error.
func problem(status int, reply []byte) error {
	var p operator.Problem
	if json.Unmarshal(reply, &p) != nil || p.Code == "" {
		p = operator.Problem{Code: "status", Message: "The VM answered status " + strconv.Itoa(status) + "."}
	}
	kind := ErrRefused
	switch p.Code {
	case "conflict":
		kind = ErrConflict
	case "unknown":
		kind = ErrUnknown
	case "store_unavailable":
		kind = ErrUnavailable
	case "invalid_document", "invalid_edit":
		kind = ErrInvalid
	}
	message := p.Message
	for _, f := range p.Faults {
		message += "\n" + f.String()
	}
	if p.Other != nil {
		message += " Revision " + strconv.FormatUint(p.Other.Number, 10) + " by " + p.Other.Author + " (" + p.Other.OpID + ")."
	}
	return kind.New("%s", message)
}
