package document_test

import (
	"os"
	"os/exec"
	"runtime/debug"
	"strings"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/document/diff"
	"github.com/poplarshore/poplarshore/document/edit"
	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/strictjson"
)

// childVariable is set in the environment of a child process of a test.
const childVariable = "POPLARSHORE_TEST_CHILD"

// childStackBytes is the maximum size of a stack in a child process, 64 MiB. A stack
// overflow then needs less memory than with the default of 1 GB.
const childStackBytes = 64 << 20

// nestedTexts returns texts that are nested deeper than any document, by name.
func nestedTexts() map[string]string {
	return map[string]string{
		"10,000 arrays":            strings.Repeat("[", 10_000),
		"1,000,000 arrays":         strings.Repeat("[", 1_000_000),
		"2,000,000 arrays":         strings.Repeat("[", 2_000_000),
		"2,000,000 objects":        strings.Repeat(`{"a":`, 2_000_000),
		"2,000,000 mixed":          strings.Repeat(`[{"a":`, 1_000_000),
		"1,000,000 closed arrays":  strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000),
		"1,000,000 after comments": "// [[\n/* ]] */ " + strings.Repeat("[ /* ] */", 1_000_000),
		"1,000,000 in a field":     `{"schema": 1, "regions": ` + strings.Repeat("[", 1_000_000),
		"1,000,000 after strings":  strings.Repeat(`{"]\"}":`, 1_000_000),
	}
}

// readers returns the functions that read documents, by name.
func readers() map[string]func(src []byte) error {
	return map[string]func([]byte) error{
		"Load":   func(src []byte) error { _, err := document.Load(src); return err },
		"Parse":  func(src []byte) error { _, err := document.Parse(src); return err },
		"edit":   func(src []byte) error { _, err := edit.Apply(src, edit.Edit{Withdraw: &edit.Withdraw{}}); return err },
		"diff":   func(src []byte) error { _, err := diff.Documents(examples.Quickstart, src); return err },
		"decode": func(src []byte) error { return strictjson.Decode(src, &struct{}{}).Faults().Err() },
	}
}

// Guards against documents that end each process that reads them: a stack overflow can't be
// recovered from, so a child process reads them.
func TestDeeplyNestedDocumentsAreRejected(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		debug.SetMaxStack(childStackBytes)
		rejectNestedTexts(t)
		return
	}
	child := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	child.Env = append(os.Environ(), childVariable+"=1")
	if out, err := child.CombinedOutput(); err != nil {
		t.Fatalf("the process that reads the documents: %v\n%s", err, out[:min(len(out), 1000)])
	}
}

func rejectNestedTexts(t *testing.T) {
	for name, src := range nestedTexts() {
		for reader, read := range readers() {
			err := read([]byte(src))
			if err == nil || !strings.Contains(err.Error(), "nested deeper than 64 levels") {
				t.Errorf("%s of %s: %.200v", reader, name, err)
			}
		}
	}
}

// Guards against an error of another type, for which callers have no exit code or status.
func TestErrorOfNestedDocumentHasTypeAndPosition(t *testing.T) {
	_, err := document.Load([]byte("// two lines\n" + strings.Repeat("[", 65)))
	if !errorx.IsOfType(err, strictjson.ErrTooDeep) || !errorx.IsOfType(err, strictjson.ErrInvalid) {
		t.Errorf("type of the error: %+v", err)
	}
	if !strings.Contains(err.Error(), "line 2, column 65") {
		t.Errorf("position in the error: %v", err)
	}
	_, faults := document.Check([]byte("// two lines\n" + strings.Repeat("[", 65)))
	if len(faults) != 1 || faults[0].Line != 2 || faults[0].Column != 65 {
		t.Errorf("faults: %v", faults)
	}
}
