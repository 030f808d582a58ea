package settings

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Print writes settings, such as the result of DefaultEntry, as JSON with a comment for
// each field. The comment is the doc tag of the field. The result has the form
// of a settings file.
func Print(w io.Writer, v any) error {
	out := bufio.NewWriter(w)
	printObject(out, reflect.Indirect(reflect.ValueOf(v)), 0)
	_, _ = out.WriteString("\n")
	return out.Flush()
}

// printObject writes the struct v, whose fields are indented by depth+1 levels.
func printObject(out *bufio.Writer, v reflect.Value, depth int) {
	indent := strings.Repeat("  ", depth+1)
	_, _ = out.WriteString("{\n")
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		if doc := field.Tag.Get("doc"); doc != "" {
			_, _ = fmt.Fprintf(out, "%s// %s\n", indent, doc)
		}
		_, _ = fmt.Fprintf(out, "%s%q: ", indent, name)
		printValue(out, v.Field(i), depth+1)
		_, _ = out.WriteString(",\n")
	}
	_, _ = out.WriteString(strings.Repeat("  ", depth) + "}")
}

// printValue writes one value. Empty and nil maps and slices are written as {} and [].
func printValue(out *bufio.Writer, v reflect.Value, depth int) {
	if v.Kind() == reflect.Struct {
		printObject(out, v, depth)
		return
	}
	if (v.Kind() == reflect.Map || v.Kind() == reflect.Slice) && v.Len() == 0 {
		_, _ = out.WriteString(map[reflect.Kind]string{reflect.Map: "{}", reflect.Slice: "[]"}[v.Kind()])
		return
	}
	text, _ := json.Marshal(v.Interface())
	_, _ = out.Write(text)
}
