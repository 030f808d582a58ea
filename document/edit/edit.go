// Package edit makes the small changes to a configuration document that operators need
// quickly: it withdraws a version, pauses or aborts a roll-out, or changes the share of
// traffic that is taken over from the older router. Comments and layout of the document
// are preserved.
//
// Every edit is idempotent: applied to a document that already contains it, it returns
// the same bytes.
package edit

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/strictjson"
	"github.com/poplarshore/poplarshore/takeover"
)

var namespace = errorx.NewNamespace("edit")

var (
	// ErrNotFound reports an edit of a roll-out that the document doesn't contain,
	// or of the takeover in a document that names no older router.
	ErrNotFound = namespace.NewType("not_found", errorx.NotFound())
	// ErrInvalid reports an empty edit, an invalid document, or an edit that would
	// make the document invalid.
	ErrInvalid = namespace.NewType("invalid")
)

// Edit is one change to a document. Exactly one field is set.
type Edit struct {
	Withdraw *Withdraw `json:"withdraw,omitempty"`
	Rollout  *Rollout  `json:"rollout,omitempty"`
	Takeover *Takeover `json:"takeover,omitempty"`
}

// Withdraw takes a version of a model out of service.
type Withdraw struct {
	// Version is the version to withdraw.
	Version model.Ref `json:"version"`
	// Reason is for operators.
	Reason string `json:"reason"`
	// Force allows the withdrawal of the last version of a model.
	Force bool `json:"force,omitempty"`
}

// Rollout pauses, resumes or aborts a roll-out.
type Rollout struct {
	// ID is the roll-out to change.
	ID rollout.ID `json:"id"`
	// Paused is whether the roll-out stays at its present step.
	Paused bool `json:"paused"`
	// Aborted is whether the roll-out is rolled back and ended.
	Aborted bool `json:"aborted"`
}

// Takeover sets the share of the first rule that matches the same traffic as Rule. If
// there is none, Rule is added before all other rules.
type Takeover struct {
	// Rule is the rule with the new share.
	Rule takeover.Rule `json:"rule"`
	// At is the time of the change. It becomes takeover.Config.ChangedAt, which
	// starts the quiet period.
	At time.Time `json:"at"`
}

// operation is one operation of a JSON Patch (RFC 6902).
type operation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value"`
}

// Apply returns the document src with the edit. If the document already contains the
// edit, it returns src. Errors: ErrNotFound, ErrInvalid.
func Apply(src []byte, e Edit) ([]byte, error) {
	doc, err := document.Parse(src)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "document")
	}
	ops, err := planOperations(doc, e)
	if err != nil || len(ops) == 0 {
		return src, err
	}
	patched, err := applyPatch(src, ops)
	if err != nil {
		return nil, err
	}
	if _, err := document.Parse(patched); err != nil {
		return nil, ErrInvalid.Wrap(err, "the edit is refused")
	}
	return patched, nil
}

// planOperations returns the operations that apply the edit; none if the document
// already contains it.
func planOperations(doc *document.Document, e Edit) ([]operation, error) {
	switch {
	case e.Withdraw != nil:
		return planWithdrawal(doc, *e.Withdraw), nil
	case e.Rollout != nil:
		return planRollout(doc, *e.Rollout)
	case e.Takeover != nil:
		return planTakeover(doc, *e.Takeover)
	}
	return nil, ErrInvalid.New("the edit is empty")
}

func planWithdrawal(doc *document.Document, w Withdraw) []operation {
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

func planRollout(doc *document.Document, r Rollout) ([]operation, error) {
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

func planTakeover(doc *document.Document, t Takeover) ([]operation, error) {
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
	// The first matching rule decides. A new rule is added before the others, because it
	// may match less traffic than they do.
	return []operation{{"add", "/takeover/rules/0", t.Rule}, changed}, nil
}

// sameTraffic reports whether two rules match the same traffic, regardless of shares.
func sameTraffic(a, b takeover.Rule) bool {
	a.Share, b.Share = 0, 0
	return a == b
}

// applyPatch applies the operations to src and preserves its comments and layout.
func applyPatch(src []byte, ops []operation) ([]byte, error) {
	text, err := json.Marshal(ops)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "patch")
	}
	patched, err := strictjson.Patch(src, text)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "document")
	}
	return patched, nil
}
