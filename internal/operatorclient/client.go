// Package operatorclient is a client of the operators' HTTP API of entry VMs, which package
// operator implements.
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
	// ErrUnreachable reports that no VM responded. A change may or may not have been
	// accepted; repeat it with the same operation ID.
	ErrUnreachable = namespace.NewType("unreachable")
	// ErrConflict reports that another operator changed the document first.
	ErrConflict = namespace.NewType("conflict")
	// ErrUnknown reports that a change may or may not have been accepted; repeat it with
	// the same operation ID.
	ErrUnknown = namespace.NewType("unknown")
	// ErrUnavailable reports that the platform's store did not respond and no change was
	// accepted.
	ErrUnavailable = namespace.NewType("unavailable")
	// ErrRefused reports a request that the VM refused. Repeating it unchanged would be
	// refused again.
	ErrRefused = namespace.NewType("refused")
	// ErrInvalid reports an invalid document or edit.
	ErrInvalid = namespace.NewType("invalid")
)

// maxResponseBytes is the maximum size of a response body.
const maxResponseBytes = 32 << 20

// Client calls one environment through any of its VMs. It is safe for concurrent use.
type Client struct {
	// URLs are the base URLs of the operator ports of VMs, tried in this order.
	URLs []string
	// Token is the operator token.
	Token string
	// HTTP sends the requests and sets their timeout. It must not be nil.
	HTTP *http.Client
}

// Document is a document with its revision.
type Document struct {
	// Number is the number of the revision.
	Number uint64
	Hash   string
	// Proof is the trial environment's signature. Other environments leave it empty.
	Proof string
	Body  []byte
}

// Proposal is a document that is proposed as the next revision.
type Proposal struct {
	// Base is the number of the revision that the document is based on.
	Base uint64
	Body []byte
	// Operation is the operation ID. Repeating it with the same proposal is safe.
	Operation string
	// Author is the name of the operator.
	Author string
	// Proof is the trial environment's signature; only production requires it.
	Proof string
	// Reinstate lists the withdrawn versions that the document may reinstate, as
	// model@version.
	Reinstate []string
}

// Document returns the document in force on the VM that responds.
func (c *Client) Document(ctx context.Context) (Document, error) {
	body, header, err := c.doAny(ctx, http.MethodGet, "/operator/v1/document", nil, nil)
	if err != nil {
		return Document{}, err
	}
	number, _ := strconv.ParseUint(header.Get(operator.HeaderRevision), 10, 64)
	return Document{
		Number: number, Hash: header.Get(operator.HeaderHash), Proof: header.Get(operator.HeaderProof), Body: body,
	}, nil
}

// Propose proposes a document as the next revision.
func (c *Client) Propose(ctx context.Context, p Proposal) (operator.Acceptance, error) {
	header := map[string]string{
		operator.HeaderBase:      strconv.FormatUint(p.Base, 10),
		operator.HeaderOperation: p.Operation,
		operator.HeaderAuthor:    p.Author,
		operator.HeaderProof:     p.Proof,
		operator.HeaderReinstate: strings.Join(p.Reinstate, ","),
	}
	var accepted operator.Acceptance
	err := c.callJSON(ctx, http.MethodPost, "/operator/v1/document", p.Body, header, &accepted)
	return accepted, err
}

// Edit applies a small change to the document in force and publishes the result.
func (c *Client) Edit(ctx context.Context, e edit.Edit, operation, author string) (operator.Acceptance, error) {
	body, err := json.Marshal(e)
	if err != nil {
		return operator.Acceptance{}, ErrInvalid.Wrap(err, "encode edit")
	}
	header := map[string]string{operator.HeaderOperation: operation, operator.HeaderAuthor: author}
	var accepted operator.Acceptance
	err = c.callJSON(ctx, http.MethodPost, "/operator/v1/edit", body, header, &accepted)
	return accepted, err
}

// InForce returns which VMs have confirmed a revision.
func (c *Client) InForce(ctx context.Context, number uint64) (revision.InForce, error) {
	var inForce revision.InForce
	err := c.callJSON(ctx, http.MethodGet, "/operator/v1/in-force/"+strconv.FormatUint(number, 10), nil, nil, &inForce)
	return inForce, err
}

// History returns the newest revisions, oldest first.
func (c *Client) History(ctx context.Context) ([]revision.Revision, error) {
	var revisions []revision.Revision
	err := c.callJSON(ctx, http.MethodGet, "/operator/v1/history", nil, nil, &revisions)
	return revisions, err
}

// GetJSON returns the JSON document at a path of the API.
func (c *Client) GetJSON(ctx context.Context, path string) (json.RawMessage, error) {
	body, _, err := c.doAny(ctx, http.MethodGet, path, nil, nil)
	return body, err
}

// callJSON calls the first VM that responds and decodes its response into dst. A response
// that can't be decoded is ErrUnknown, as the change may have been accepted.
func (c *Client) callJSON(ctx context.Context, method, path string, body []byte, header map[string]string, dst any) error {
	response, _, err := c.doAny(ctx, method, path, body, header)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(response, dst); err != nil {
		return ErrUnknown.Wrap(err, "decode response of %s", path)
	}
	return nil
}

// doAny calls the VMs in order until one responds, with success or an error. A change can
// safely be repeated at another VM, as it has an operation ID.
func (c *Client) doAny(ctx context.Context, method, path string, body []byte, header map[string]string) ([]byte, http.Header, error) {
	err := error(ErrUnreachable.New("no URL of a VM was given"))
	for _, base := range c.URLs {
		var response []byte
		var responseHeader http.Header
		response, responseHeader, err = c.doOnce(ctx, method, base+path, body, header)
		if err == nil || !errorx.IsOfType(err, ErrUnreachable) {
			return response, responseHeader, err
		}
	}
	return nil, nil, err
}

// doOnce calls one VM and returns the body and header of its response. Header fields with
// an empty value are not sent. A failed call or an incomplete response is ErrUnreachable.
func (c *Client) doOnce(ctx context.Context, method, url string, body []byte, header map[string]string) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, ErrRefused.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	for name, value := range header {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, nil, ErrUnreachable.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	response, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, nil, ErrUnreachable.Wrap(err, "read response")
	}
	if len(response) > maxResponseBytes {
		return nil, nil, ErrUnknown.New("response of %s is longer than %d bytes", url, maxResponseBytes)
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		return response, resp.Header, nil
	}
	return nil, nil, problemError(resp.StatusCode, response)
}

// codeStatus stands for an error response without a code of its own.
const codeStatus = "status"

// problemError converts an error response to an error of the type that corresponds to its
// code, with the faults of the document and the conflicting revision in the message. A server
// error without a code may come from something between the client and the VM, so the change
// may have been accepted: ErrUnknown.
func problemError(status int, response []byte) error {
	var p operator.Problem
	if json.Unmarshal(response, &p) != nil || p.Code == "" {
		p = operator.Problem{Code: codeStatus, Message: "The VM answered status " + strconv.Itoa(status) + "."}
	}
	kind := ErrRefused
	if p.Code == codeStatus && status >= http.StatusInternalServerError {
		kind = ErrUnknown
	}
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
	if p.Conflicting != nil {
		message += " Revision " + strconv.FormatUint(p.Conflicting.Number, 10) + " by " + p.Conflicting.Author + " (" + p.Conflicting.OpID + ")."
	}
	return kind.New("%s", message)
}
