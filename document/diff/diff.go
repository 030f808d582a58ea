// Package diff lists the differences between two configuration documents by
// path. Members of lists are matched by their id, name, version or text, not by
// their place.
package diff

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/tailscale/hujson"
)

var namespace = errorx.NewNamespace("diff")

// ErrMalformed reports a text that is not JSON with comments.
var ErrMalformed = namespace.NewType("malformed")

// Change is one difference.
type Change struct {
	// Path names the value, such as "contracts[standard].quality_target".
	Path string `json:"path"`
	// Old and New are JSON texts; empty where the value is absent.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the change in one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Documents returns the differences from one text to another, in the order of
// their paths. Errors: ErrMalformed.
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
	plain, err := hujson.Standardize(slices.Clone(src))
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "document")
	}
	var v any
	if err := json.Unmarshal(plain, &v); err != nil {
		return nil, ErrMalformed.Wrap(err, "document")
	}
	return v, nil
}

func compare(path string, a, b any, out *[]Change) {
	x, y, ok := members(a, b)
	if !ok {
		if text(a) != text(b) {
			*out = append(*out, Change{Path: strings.TrimPrefix(path, "."), Old: text(a), New: text(b)})
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

// members returns both values as maps from path steps to values; false where
// they can't be compared member by member.
func members(a, b any) (x, y map[string]any, ok bool) {
	switch a := a.(type) {
	case map[string]any:
		b, same := b.(map[string]any)
		return fields(a), fields(b), same
	case []any:
		b, same := b.([]any)
		return items(a), items(b), same
	}
	return nil, nil, false
}

func fields(m map[string]any) map[string]any {
	out := make(map[string]any, len(m))
	for name, v := range m {
		out["."+name] = v
	}
	return out
}

func items(list []any) map[string]any {
	out := make(map[string]any, len(list))
	for i, v := range list {
		key := "[" + label(v, i) + "]"
		if _, taken := out[key]; taken {
			key = "[" + strconv.Itoa(i) + "]"
		}
		out[key] = v
	}
	return out
}

// label names a member of a list.
func label(v any, i int) string {
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

func text(v any) string {
	if v == nil {
		return ""
	}
	b, _ := json.Marshal(v)
	return string(b)
}
