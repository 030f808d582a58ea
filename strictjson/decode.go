package strictjson

import (
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// maxDepth bounds the nesting of values.
const maxDepth = 64

// Text is a decoded text; it remembers where each value stood.
type Text struct {
	src       []byte
	positions map[string]int
	faults    Faults
}

// Decode decodes src into the value that dst points to. Values that are absent
// from the text keep what dst held. The returned Text carries all faults found.
func Decode(src []byte, dst any) *Text {
	t := &Text{src: src, positions: make(map[string]int)}
	if !utf8.Valid(src) {
		t.faults = append(t.faults, Fault{Line: 1, Column: 1, Message: "text is not UTF-8"})
		return t
	}
	root, err := hujson.Parse(src)
	if err != nil {
		t.syntax(err)
		return t
	}
	t.value("", root, reflect.ValueOf(dst).Elem(), 0)
	return t
}

// Faults returns the faults found so far.
func (t *Text) Faults() Faults {
	return t.faults
}

// Add records a fault of the value at path.
func (t *Text) Add(path, format string, args ...any) {
	offset, ok := t.positions[path]
	f := Fault{Path: path, Message: fmt.Sprintf(format, args...)}
	if ok {
		f.Line, f.Column = t.lineColumn(offset)
	}
	t.faults = append(t.faults, f)
}

func (t *Text) lineColumn(offset int) (line, column int) {
	before := t.src[:min(offset, len(t.src))]
	line = 1 + strings.Count(string(before), "\n")
	column = offset - strings.LastIndexByte(string(before), '\n')
	return line, column
}

func (t *Text) syntax(err error) {
	f := Fault{Line: 1, Column: 1, Message: err.Error()}
	var se *json.SyntaxError
	if errors.As(err, &se) {
		f.Line, f.Column = t.lineColumn(int(se.Offset))
	}
	if m := strings.TrimPrefix(err.Error(), "hujson: line "); m != err.Error() {
		f.Line, f.Column = parsePosition(m, f.Line, f.Column)
	}
	t.faults = append(t.faults, f)
}

// parsePosition reads "LINE, column COLUMN: …".
func parsePosition(m string, line, column int) (int, int) {
	var l, c int
	if n, _ := fmt.Sscanf(m, "%d, column %d:", &l, &c); n == 2 {
		return l, c
	}
	return line, column
}

func (t *Text) value(path string, v hujson.Value, dst reflect.Value, depth int) {
	t.positions[path] = v.StartOffset
	if depth > maxDepth {
		t.Add(path, "nested deeper than %d levels", maxDepth)
		return
	}
	if u, ok := textUnmarshaler(dst); ok {
		t.text(path, v, u)
		return
	}
	switch dst.Kind() {
	case reflect.Pointer:
		t.pointer(path, v, dst, depth)
	case reflect.Struct:
		t.object(path, v, dst, depth)
	case reflect.Slice:
		t.array(path, v, dst, depth)
	case reflect.Map:
		t.dictionary(path, v, dst, depth)
	default:
		t.scalar(path, v, dst)
	}
}

func textUnmarshaler(dst reflect.Value) (encoding.TextUnmarshaler, bool) {
	if !dst.CanAddr() {
		return nil, false
	}
	u, ok := dst.Addr().Interface().(encoding.TextUnmarshaler)
	return u, ok
}

func (t *Text) text(path string, v hujson.Value, u encoding.TextUnmarshaler) {
	s, ok := stringLiteral(v)
	if !ok {
		t.Add(path, "must be a string")
		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil {
		t.Add(path, "%v", err)
	}
}

func (t *Text) pointer(path string, v hujson.Value, dst reflect.Value, depth int) {
	if dst.IsNil() {
		dst.Set(reflect.New(dst.Type().Elem()))
	}
	t.value(path, v, dst.Elem(), depth)
}

func (t *Text) object(path string, v hujson.Value, dst reflect.Value, depth int) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		t.Add(path, "must be an object")
		return
	}
	fields := fieldsByTag(dst.Type())
	seen := make(map[string]bool, len(obj.Members))
	for i := range obj.Members {
		name, _ := stringLiteral(obj.Members[i].Name)
		child := join(path, name)
		t.positions[child] = obj.Members[i].Name.StartOffset
		if seen[name] {
			t.Add(child, "field stands twice; keep one")
			continue
		}
		seen[name] = true
		index, known := fields[name]
		if !known {
			t.Add(child, "unknown field; known are %s", strings.Join(tags(dst.Type()), ", "))
			continue
		}
		t.value(child, obj.Members[i].Value, dst.Field(index), depth+1)
	}
}

func (t *Text) array(path string, v hujson.Value, dst reflect.Value, depth int) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		t.Add(path, "must be an array")
		return
	}
	out := reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements))
	for i := range arr.Elements {
		t.value(path+"["+strconv.Itoa(i)+"]", arr.Elements[i], out.Index(i), depth+1)
	}
	dst.Set(out)
}

func (t *Text) dictionary(path string, v hujson.Value, dst reflect.Value, depth int) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		t.Add(path, "must be an object")
		return
	}
	out := reflect.MakeMapWithSize(dst.Type(), len(obj.Members))
	for i := range obj.Members {
		name, _ := stringLiteral(obj.Members[i].Name)
		child := join(path, name)
		key := reflect.ValueOf(name).Convert(dst.Type().Key())
		if out.MapIndex(key).IsValid() {
			t.Add(child, "key stands twice; keep one")
			continue
		}
		elem := reflect.New(dst.Type().Elem()).Elem()
		t.value(child, obj.Members[i].Value, elem, depth+1)
		out.SetMapIndex(key, elem)
	}
	dst.Set(out)
}

func (t *Text) scalar(path string, v hujson.Value, dst reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() == 'n' {
		t.Add(path, "must be %s", kindName(dst.Kind()))
		return
	}
	if err := json.Unmarshal(lit, dst.Addr().Interface()); err != nil {
		t.Add(path, "must be %s, not %s", kindName(dst.Kind()), []byte(lit))
	}
}

func stringLiteral(v hujson.Value) (string, bool) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		return "", false
	}
	return lit.String(), true
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number within range"
	}
}

func fieldsByTag(typ reflect.Type) map[string]int {
	fields := make(map[string]int, typ.NumField())
	for i := range typ.NumField() {
		if tag := tagName(typ.Field(i)); tag != "" {
			fields[tag] = i
		}
	}
	return fields
}

func tags(typ reflect.Type) []string {
	var names []string
	for i := range typ.NumField() {
		if tag := tagName(typ.Field(i)); tag != "" {
			names = append(names, tag)
		}
	}
	return names
}

func tagName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}
