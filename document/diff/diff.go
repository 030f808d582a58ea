// Package diff lists the differences between two configuration documents by path.
// Members of lists are matched by their id, name, version or text, not by their
// position.
package diff

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/strictjson"
)

var namespace = errorx.NewNamespace("diff")

// ErrMalformed reports a document that is not JSON with comments.
var ErrMalformed = namespace.NewType("malformed")

// Change is one difference between two documents.
type Change struct {
	// Path identifies the value, such as "contracts[standard].quality_target".
	Path string `json:"path"`
	// Old and New are the values as JSON, empty if the document lacks the value.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the change as one line, which begins with "+" for an added value, "-"
// for a removed one and "~" for a changed one.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Documents returns the differences between two documents, ordered by path. Differences
// in comments and layout are not listed. Errors: ErrMalformed.
func Documents(from, to []byte) ([]Change, error) {
	a, err := decode(from)
	if err != nil {
		return nil, err
	}
	b, err := decode(to)
	if err != nil {
		return nil, err
	}
	var changes []Change
	compare("", a, b, &changes)
	return changes, nil
}

func decode(src []byte) (any, error) {
	plain, err := strictjson.Standardize(src)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "document")
	}
	var v any
	if err := json.Unmarshal(plain, &v); err != nil {
		return nil, ErrMalformed.Wrap(err, "document")
	}
	return v, nil
}

// compare appends the differences between the values a and b at the path to out.
func compare(path string, a, b any, out *[]Change) {
	x, y, ok := memberSteps(a, b)
	if !ok {
		if jsonText(a) != jsonText(b) {
			*out = append(*out, Change{Path: strings.TrimPrefix(path, "."), Old: jsonText(a), New: jsonText(b)})
		}
		return
	}
	keys := slices.Collect(maps.Keys(x))
	for key := range y {
		if _, both := x[key]; !both {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		compare(path+key, x[key], y[key], out)
	}
}

// memberSteps returns the members of both values, by their path steps. It returns false
// if the values are not both objects or both arrays.
func memberSteps(a, b any) (x, y map[string]any, ok bool) {
	switch a := a.(type) {
	case map[string]any:
		b, same := b.(map[string]any)
		return fieldSteps(a), fieldSteps(b), same
	case []any:
		b, same := b.([]any)
		return itemSteps(a), itemSteps(b), same
	}
	return nil, nil, false
}

// fieldSteps returns the fields of an object by path step, such as ".name".
func fieldSteps(m map[string]any) map[string]any {
	out := make(map[string]any, len(m))
	for name, v := range m {
		out["."+name] = v
	}
	return out
}

// itemSteps returns the members of an array by path step, such as "[standard]". If an
// earlier member has the same label, the step is the index.
func itemSteps(list []any) map[string]any {
	out := make(map[string]any, len(list))
	for i, v := range list {
		key := "[" + itemLabel(v, i) + "]"
		if _, duplicate := out[key]; duplicate {
			key = "[" + strconv.Itoa(i) + "]"
		}
		out[key] = v
	}
	return out
}

// itemLabel returns the label of the i-th member of an array: its text, or its id, name
// or version, or else its index.
func itemLabel(v any, i int) string {
	if s, ok := v.(string); ok {
		return s
	}
	if m, ok := v.(map[string]any); ok {
		for _, name := range []string{"id", "name", "version"} {
			if s, ok := m[name].(string); ok {
				return s
			}
		}
	}
	return strconv.Itoa(i)
}

// jsonText returns the value as JSON, empty for an absent value or null.
func jsonText(v any) string {
	if v == nil {
		return ""
	}
	b, _ := json.Marshal(v)
	return string(b)
}
