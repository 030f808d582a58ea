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

// maxFaults is the maximum number of faults that are listed.
const maxFaults = 1000

// Text is a decoded text with the positions of its values and the faults found in it.
type Text struct {
	src       []byte
	positions map[string]int // byte offsets of values, by path
	faults    Faults
	truncated bool // whether there are more than maxFaults faults
}

// Decode decodes src into the value that dst points to. dst must be a non-nil pointer.
// Values that are absent from src are left unchanged. The faults found are in the
// returned Text; if there are any, dst may be decoded in part.
func Decode(src []byte, dst any) *Text {
	t := &Text{src: src, positions: make(map[string]int)}
	if !utf8.Valid(src) {
		t.faults = append(t.faults, Fault{Line: 1, Column: 1, Message: "text is not UTF-8"})
		return t
	}
	if offset, ok := excessBracket(src); ok {
		t.addFaultAt(offset, tooDeepMessage())
		return t
	}
	root, err := hujson.Parse(src)
	if err != nil {
		t.addSyntaxFault(err)
		return t
	}
	t.decodeValue("", root, reflect.ValueOf(dst).Elem())
	return t
}

// Faults returns the faults found so far. If there are more than 1,000, the first 1,000
// are listed, and one more that says so.
func (t *Text) Faults() Faults {
	return t.faults
}

// AddFault records a fault of the value at path, for example if the caller's validation
// fails. The message is formatted as by fmt.Sprintf.
func (t *Text) AddFault(path, format string, args ...any) {
	if t.isFull() {
		return
	}
	offset, ok := t.positions[path]
	f := Fault{Path: path, Message: fmt.Sprintf(format, args...)}
	if ok {
		f.Line, f.Column = lineColumn(t.src, offset)
	}
	t.faults = append(t.faults, f)
}

// isFull reports whether no more faults are listed. The first time it adds the fault that
// says so.
func (t *Text) isFull() bool {
	if len(t.faults) < maxFaults {
		return false
	}
	if !t.truncated {
		t.truncated = true
		t.faults = append(t.faults, Fault{Message: fmt.Sprintf("there are more than %d faults; the others are not listed", maxFaults)})
	}
	return true
}

// addFaultAt records a fault of the text at a byte offset.
func (t *Text) addFaultAt(offset int, message string) {
	line, column := lineColumn(t.src, offset)
	t.faults = append(t.faults, Fault{Line: line, Column: column, Message: message})
}

// addSyntaxFault records an error of the parser, with the position that it gives.
func (t *Text) addSyntaxFault(err error) {
	f := Fault{Line: 1, Column: 1, Message: err.Error()}
	var se *json.SyntaxError
	if errors.As(err, &se) {
		f.Line, f.Column = lineColumn(t.src, int(se.Offset))
	}
	if m := strings.TrimPrefix(err.Error(), "hujson: line "); m != err.Error() {
		f.Line, f.Column = parsePosition(m, f.Line, f.Column)
	}
	t.faults = append(t.faults, f)
}

// parsePosition parses "LINE, column COLUMN: …". It returns line and column unchanged if
// m has another form.
func parsePosition(m string, line, column int) (int, int) {
	var l, c int
	if n, _ := fmt.Sscanf(m, "%d, column %d:", &l, &c); n == 2 {
		return l, c
	}
	return line, column
}

// decodeValue decodes v, which is at path, into dst. It calls itself at most once per level
// of the text, of which there are maxDepth.
func (t *Text) decodeValue(path string, v hujson.Value, dst reflect.Value) {
	t.positions[path] = v.StartOffset
	if u, ok := textUnmarshaler(dst); ok {
		t.decodeText(path, v, u)
		return
	}
	switch dst.Kind() {
	case reflect.Pointer:
		t.decodePointer(path, v, dst)
	case reflect.Struct:
		t.decodeObject(path, v, dst)
	case reflect.Slice:
		t.decodeArray(path, v, dst)
	case reflect.Map:
		t.decodeMap(path, v, dst)
	default:
		t.decodeScalar(path, v, dst)
	}
}

// textUnmarshaler returns dst as a TextUnmarshaler, if its type implements that.
func textUnmarshaler(dst reflect.Value) (encoding.TextUnmarshaler, bool) {
	if !dst.CanAddr() {
		return nil, false
	}
	u, ok := dst.Addr().Interface().(encoding.TextUnmarshaler)
	return u, ok
}

func (t *Text) decodeText(path string, v hujson.Value, u encoding.TextUnmarshaler) {
	s, ok := stringLiteral(v)
	if !ok {
		t.AddFault(path, "must be a string")
		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil {
		t.AddFault(path, "%v", err)
	}
}

func (t *Text) decodePointer(path string, v hujson.Value, dst reflect.Value) {
	if dst.IsNil() {
		dst.Set(reflect.New(dst.Type().Elem()))
	}
	t.decodeValue(path, v, dst.Elem())
}

func (t *Text) decodeObject(path string, v hujson.Value, dst reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		t.AddFault(path, "must be an object")
		return
	}
	fields := fieldIndexes(dst.Type())
	seen := make(map[string]bool, len(obj.Members))
	for i := range obj.Members {
		name, _ := stringLiteral(obj.Members[i].Name)
		child := joinPath(path, name)
		t.positions[child] = obj.Members[i].Name.StartOffset
		if seen[name] {
			t.AddFault(child, "field stands twice; keep one")
			continue
		}
		seen[name] = true
		index, known := fields[name]
		if !known {
			t.AddFault(child, "unknown field; known are %s", strings.Join(fieldNames(dst.Type()), ", "))
			continue
		}
		t.decodeValue(child, obj.Members[i].Value, dst.Field(index))
	}
}

func (t *Text) decodeArray(path string, v hujson.Value, dst reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		t.AddFault(path, "must be an array")
		return
	}
	out := reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements))
	for i := range arr.Elements {
		t.decodeValue(path+"["+strconv.Itoa(i)+"]", arr.Elements[i], out.Index(i))
	}
	dst.Set(out)
}

func (t *Text) decodeMap(path string, v hujson.Value, dst reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		t.AddFault(path, "must be an object")
		return
	}
	out := reflect.MakeMapWithSize(dst.Type(), len(obj.Members))
	for i := range obj.Members {
		name, _ := stringLiteral(obj.Members[i].Name)
		child := joinPath(path, name)
		key := reflect.ValueOf(name).Convert(dst.Type().Key())
		if out.MapIndex(key).IsValid() {
			t.AddFault(child, "key stands twice; keep one")
			continue
		}
		elem := reflect.New(dst.Type().Elem()).Elem()
		t.decodeValue(child, obj.Members[i].Value, elem)
		out.SetMapIndex(key, elem)
	}
	dst.Set(out)
}

func (t *Text) decodeScalar(path string, v hujson.Value, dst reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() == 'n' {
		t.AddFault(path, "must be %s", kindName(dst.Kind()))
		return
	}
	if err := json.Unmarshal(lit, dst.Addr().Interface()); err != nil {
		t.AddFault(path, "must be %s, not %s", kindName(dst.Kind()), []byte(lit))
	}
}

// stringLiteral returns the string that v is; false if v is not a string.
func stringLiteral(v hujson.Value) (string, bool) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		return "", false
	}
	return lit.String(), true
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// kindName describes the values that the kind accepts.
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

// fieldIndexes returns the indexes of the struct's fields by their JSON names.
func fieldIndexes(typ reflect.Type) map[string]int {
	fields := make(map[string]int, typ.NumField())
	for i := range typ.NumField() {
		if tag := fieldName(typ.Field(i)); tag != "" {
			fields[tag] = i
		}
	}
	return fields
}

// fieldNames returns the JSON names of the struct's fields in their order.
func fieldNames(typ reflect.Type) []string {
	var names []string
	for i := range typ.NumField() {
		if tag := fieldName(typ.Field(i)); tag != "" {
			names = append(names, tag)
		}
	}
	return names
}

// fieldName returns the JSON name of the field, or "" if it has none.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}
