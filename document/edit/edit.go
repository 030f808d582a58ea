// Package edit makes the small changes to a configuration document that
// operators need at once: a withdrawal, a roll-out held or ended, a share moved
// between routers. Comments and layout of the document stay.
//
// Every edit is idempotent: applied to a document that has it already, it
// returns the same bytes.
package edit

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"github.com/tailscale/hujson"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/takeover"
)

var namespace = errorx.NewNamespace("edit")

var (
	// ErrNotFound reports an edit of something that the document lacks.
	ErrNotFound = namespace.NewType("not_found", errorx.NotFound())
	// ErrInvalid reports an edit that would make the document invalid.
	ErrInvalid = namespace.NewType("invalid")
)

// Edit is one change. Exactly one field is set.
type Edit struct {
	Withdraw *Withdraw `json:"withdraw,omitempty"`
	Rollout  *Rollout  `json:"rollout,omitempty"`
	Takeover *Takeover `json:"takeover,omitempty"`
}

// Withdraw takes a version out of service.
type Withdraw struct {
	Version model.Ref `json:"version"`
	Reason  string    `json:"reason"`
	// Force allows it for a model's last version.
	Force bool `json:"force,omitempty"`
}

// Rollout holds, resumes or ends a roll-out.
type Rollout struct {
	ID      rollout.ID `json:"id"`
	Paused  bool       `json:"paused"`
	Aborted bool       `json:"aborted"`
}

// Takeover sets the share of the rules that name the same traffic, or adds one.
type Takeover struct {
	Rule takeover.Rule `json:"rule"`
	// At is the time of the change.
	At time.Time `json:"at"`
}

// operation is one step of a JSON patch (RFC 6902).
type operation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value"`
}

// Apply returns the document with the edit. Errors: ErrNotFound, ErrInvalid.
func Apply(src []byte, e Edit) ([]byte, error) {
	doc, err := document.Parse(src)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "document")
	}
	ops, err := plan(doc, e)
	if err != nil || len(ops) == 0 {
		return src, err
	}
	patched, err := patch(src, ops)
	if err != nil {
		return nil, err
	}
	if _, err := document.Parse(patched); err != nil {
		return nil, ErrInvalid.Wrap(err, "the edit is refused")
	}
	return patched, nil
}

func plan(doc *document.Document, e Edit) ([]operation, error) {
	switch {
	case e.Withdraw != nil:
		return withdraw(doc, *e.Withdraw), nil
	case e.Rollout != nil:
		return setRollout(doc, *e.Rollout)
	case e.Takeover != nil:
		return setShare(doc, *e.Takeover)
	}
	return nil, ErrInvalid.New("the edit is empty")
}

func withdraw(doc *document.Document, w Withdraw) []operation {
	for _, old := range doc.Withdrawals {
		if old.Version == w.Version {
			return nil
		}
	}
	entry := document.Withdrawal{Version: w.Version, Reason: w.Reason, Force: w.Force}
	if len(doc.Withdrawals) == 0 {
		return []operation{{"add", "/withdrawals", []document.Withdrawal{entry}}}
	}
	return []operation{{"add", "/withdrawals/-", entry}}
}

func setRollout(doc *document.Document, r Rollout) ([]operation, error) {
	for i, plan := range doc.Rollouts {
		if plan.ID != r.ID {
			continue
		}
		if plan.Paused == r.Paused && plan.Aborted == r.Aborted {
			return nil, nil
		}
		at := "/rollouts/" + strconv.Itoa(i)
		return []operation{{"add", at + "/paused", r.Paused}, {"add", at + "/aborted", r.Aborted}}, nil
	}
	return nil, ErrNotFound.New("there is no roll-out %q", r.ID)
}

func setShare(doc *document.Document, t Takeover) ([]operation, error) {
	if doc.Takeover.OldRouter == "" {
		return nil, ErrNotFound.New("the document names no older router")
	}
	changed := operation{"add", "/takeover/changed_at", t.At.Unix()}
	for i, rule := range doc.Takeover.Rules {
		if !sameTraffic(rule, t.Rule) {
			continue
		}
		if rule.Share == t.Rule.Share {
			return nil, nil
		}
		return []operation{{"add", "/takeover/rules/" + strconv.Itoa(i) + "/share", t.Rule.Share}, changed}, nil
	}
	if len(doc.Takeover.Rules) == 0 {
		return []operation{{"add", "/takeover/rules", []takeover.Rule{t.Rule}}, changed}, nil
	}
	// A new rule goes first, as it may be narrower than those that stand.
	return []operation{{"add", "/takeover/rules/0", t.Rule}, changed}, nil
}

func sameTraffic(a, b takeover.Rule) bool {
	a.Share, b.Share = 0, 0
	return a == b
}

func patch(src []byte, ops []operation) ([]byte, error) {
	text, err := json.Marshal(ops)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "patch")
	}
	value, err := hujson.Parse(bytes.Clone(src))
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "document")
	}
	if err := value.Patch(text); err != nil {
		return nil, ErrInvalid.Wrap(err, "patch")
	}
	return value.Pack(), nil
}
