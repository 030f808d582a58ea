package cli

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"
)

// output says how a reading command prints.
type output struct {
	format string
}

func (o *output) flags(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&o.format, "output", "o", "text", "text or json")
}

// print writes v as JSON, or by the function as text.
func (o *output) print(cmd *cobra.Command, v any, text func()) error {
	switch o.format {
	case "text":
		text()
		return nil
	case "json":
		out := json.NewEncoder(cmd.OutOrStdout())
		out.SetIndent("", "  ")
		return out.Encode(v)
	}
	return ErrUsage.New("output %q is neither text nor json", o.format)
}

func say(cmd *cobra.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), format+"\n", args...)
}
