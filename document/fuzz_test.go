package document_test

import (
	"testing"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/document/diff"
	"github.com/poplarshore/poplarshore/document/edit"
	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/takeover"
)

// fuzzSeeds are texts from which the fuzz tests of documents begin.
var fuzzSeeds = []string{
	string(examples.Quickstart), `{}`, `null`, `[[[[`, `{"schema":1,}`, "// c\n{\"schema\": 1, /* [ */ \"models\": [{}]}",
	`{"schema":1,"regions":["a"],"upstreams":[{"capacity":-1}],"takeover":{"changed_at":1e18}}`, `{"a":{"id":"x"},"b":[{"id":"x"},{"id":"x"}]}`,
}

// FuzzLoad guards against bodies that end a VM that loads and compiles them.
func FuzzLoad(f *testing.F) {
	for _, src := range fuzzSeeds {
		f.Add([]byte(src))
	}
	f.Fuzz(func(t *testing.T, src []byte) {
		doc, err := document.Load(src)
		if err != nil {
			return
		}
		document.NewIndex(1, doc)
		for _, c := range doc.Contracts {
			if c.Deadline() <= 0 {
				t.Fatalf("deadline %v of %d ms", c.Deadline(), c.DeadlineMS)
			}
		}
	})
}

// FuzzEdit guards against edits that end the process of the operator port, that make a
// document invalid, or that change it a second time.
func FuzzEdit(f *testing.F) {
	for _, src := range fuzzSeeds {
		f.Add([]byte(src), "m", "v")
	}
	f.Fuzz(func(t *testing.T, src []byte, name, version string) {
		for _, e := range []edit.Edit{
			{Withdraw: &edit.Withdraw{Version: model.Ref{Model: model.Name(name), Version: model.VersionID(version)}, Force: true}},
			{Rollout: &edit.Rollout{ID: rollout.ID(name), Paused: true}},
			{Takeover: &edit.Takeover{Rule: takeover.Rule{Model: model.Name(name), Share: 0.5}}},
		} {
			edited, err := edit.Apply(src, e)
			if err != nil {
				continue
			}
			if _, err := document.Parse(edited); err != nil {
				t.Fatalf("edited document is invalid: %v", err)
			}
			again, err := edit.Apply(edited, e)
			if err != nil || string(again) != string(edited) {
				t.Fatalf("second edit: %v", err)
			}
		}
	})
}

// FuzzDiff guards against documents that end the process that compares them, and against
// differences of a document from itself.
func FuzzDiff(f *testing.F) {
	for _, src := range fuzzSeeds {
		f.Add([]byte(src), []byte(fuzzSeeds[0]))
	}
	f.Fuzz(func(t *testing.T, a, b []byte) {
		_, _ = diff.Documents(a, b)
		if changes, err := diff.Documents(a, a); err == nil && len(changes) > 0 {
			t.Fatalf("differs from itself: %v", changes)
		}
	})
}
