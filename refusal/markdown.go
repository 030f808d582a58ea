package refusal

import (
	"fmt"
	"strings"
)

// Markdown returns a Markdown table of all reasons, for the callers'
// documentation.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| code | status | type | ran | Retry-After | meaning |\n|---|---|---|---|---|---|\n")
	for _, s := range specs {
		retryAfter := "-"
		if s.RetryAfter > 0 {
			retryAfter = s.RetryAfter.String()
		}
		_, _ = fmt.Fprintf(&b, "| `%s` | %d | `%s` | %s | %s | %s |\n", s.Reason, s.Status, s.Class, s.Ran, retryAfter, s.Help)
	}
	return b.String()
}
