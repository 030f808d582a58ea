package strictjson

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/tailscale/hujson"
)

// Guards against brackets that are counted though the parser doesn't see them, and the
// reverse.
func TestOnlyBracketsOfValuesCountAsNesting(t *testing.T) {
	many := strings.Repeat("[", 1000)
	deep := strings.Repeat("[", maxDepth)
	cases := []struct {
		name, src string
		offset    int // -1 if the text is not nested too deep
	}{
		{"empty", "", -1},
		{"deepest allowed", deep + strings.Repeat("]", maxDepth), -1},
		{"one more", deep + "[", maxDepth},
		{"one more object", deep + "{", maxDepth},
		{"side by side", strings.Repeat("[[],{}],", 1000), -1},
		{"in a string", `"` + many + `"`, -1},
		{"after an escaped quotation mark", `"\"` + many + `"`, -1},
		{"after an escaped backslash", `"\\"` + many, 4 + maxDepth},
		{"in a line comment", "//" + many + "\n[]", -1},
		{"after a line comment", "//\n" + many, 3 + maxDepth},
		{"in a block comment", "/*" + many + "\n" + many + "*/[]", -1},
		{"after a block comment", "/**/" + many, 4 + maxDepth},
		{"in a block comment that begins with a slash", "/*/" + many + "*/", -1},
		{"quotation mark in a comment", "/*\"*/" + many, 5 + maxDepth},
		{"comment in a string", `"/*"` + many, 4 + maxDepth},
		{"slash that begins no comment", "/" + many, 1 + maxDepth},
		{"unclosed string", `"` + many, -1},
		{"unclosed string at an escape", `"\`, -1},
		{"unclosed line comment", "//" + many, -1},
		{"unclosed block comment", "/*" + many + "*", -1},
	}
	for _, c := range cases {
		offset, ok := excessBracket([]byte(c.src))
		if ok != (c.offset >= 0) || (ok && offset != c.offset) {
			t.Errorf("%s: offset %d, %v; want %d", c.name, offset, ok, c.offset)
		}
	}
}

// Guards against a check of the depth that reads another text than the parser: what passes
// the check must never be nested deeper than the limit, and what is not, must pass.
func FuzzNestingAgreesWithParser(f *testing.F) {
	for _, src := range []string{
		`{"a":[1,{"b":"]"}],}`, "// [\n[[/* ] */]]", `"\\"`, `["\"[", "/*", "*/"]`, "/*/[*/[]", "[\"\\", "//[", "[[[[",
		strings.Repeat("[", 66) + strings.Repeat("]", 66),
		strings.Repeat("[", 64) + `"["` + strings.Repeat("]", 64),
	} {
		f.Add([]byte(src))
	}
	f.Fuzz(func(t *testing.T, src []byte) {
		if len(src) > 1<<16 {
			t.Skip()
		}
		_, tooDeep := excessBracket(src)
		value, err := hujson.Parse(src)
		if depth := depthOf(value); depth > maxDepth && !tooDeep {
			t.Fatalf("passed at depth %d", depth)
		} else if err == nil && depth <= maxDepth && tooDeep {
			t.Fatalf("rejected at depth %d", depth)
		}
	})
}

// depthOf returns the number of arrays and objects around the innermost value.
func depthOf(value hujson.Value) int {
	deepest := 0
	switch v := value.Value.(type) {
	case *hujson.Object:
		for _, m := range v.Members {
			deepest = max(deepest, depthOf(m.Value))
		}
		return deepest + 1
	case *hujson.Array:
		for _, e := range v.Elements {
			deepest = max(deepest, depthOf(e))
		}
		return deepest + 1
	}
	return 0
}

// Guards against another package that parses texts recursively without a bound.
func TestNoOtherPackageImportsHujson(t *testing.T) {
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || filepath.Dir(path) == filepath.Join("..", "strictjson") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range file.Imports {
			if i.Path.Value == `"github.com/tailscale/hujson"` {
				t.Errorf("%s imports hujson; use strictjson", path)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
