package strictjson

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("strictjson")

// ErrInvalid reports text that has at least one fault.
var ErrInvalid = namespace.NewType("invalid")

// Fault is one thing that is wrong with the text.
type Fault struct {
	// Line and Column count from 1; Column counts bytes. Both are 0 where
	// the fault has no position of its own.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path names the value, such as "accounts[2].contract".
	Path string `json:"path"`
	// Message says what is wrong and how to mend it.
	Message string `json:"message"`
}

// String returns "line:column: path: message".
func (f Fault) String() string {
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Path, f.Message)
}

// Faults is a list of faults.
type Faults []Fault

// Err returns nil for an empty list, else an ErrInvalid that lists all faults.
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
