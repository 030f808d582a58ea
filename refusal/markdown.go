package refusal

import (
	"fmt"
	"strings"
)

// Markdown returns the table of all reasons for the callers' page.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| code | status | type | ran | Retry-After | meaning |\n|---|---|---|---|---|---|\n")
	for _, s := range specs {
		after := "-"
		if s.RetryAfter > 0 {
			after = s.RetryAfter.String()
		}
		_, _ = fmt.Fprintf(&b, "| `%s` | %d | `%s` | %s | %s | %s |\n", s.Reason, s.Status, s.Class, s.Ran, after, s.Help)
	}
	return b.String()
}
