package strictjson

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("strictjson")

var (
	// ErrInvalid reports text that has at least one fault.
	ErrInvalid = namespace.NewType("invalid")
	// ErrTooDeep reports text that is nested deeper than 64 levels. Its message names the
	// line and column. It is a subtype of ErrInvalid.
	ErrTooDeep = ErrInvalid.NewSubtype("too_deep")
)

// tooDeepMessage is the message of the fault and the error of text that is nested deeper
// than maxDepth levels.
func tooDeepMessage() string {
	return fmt.Sprintf("nested deeper than %d levels", maxDepth)
}

// Fault is one error in the text.
type Fault struct {
	// Line and Column are the position of the fault. Both count from 1; Column
	// counts bytes. Both are 0 if the faulty value is absent from the text.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path identifies the value, such as "accounts[2].contract".
	Path string `json:"path"`
	// Message says what is wrong and how to correct it.
	Message string `json:"message"`
}

// String returns "line:column: path: message".
func (f Fault) String() string {
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Path, f.Message)
}

// Faults is a list of faults, in the order in which they were found.
type Faults []Fault

// Err returns nil for an empty list, and otherwise an error of type ErrInvalid that
// lists all faults, one per line.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return ErrInvalid.New("%s", strings.Join(lines, "\n"))
}
