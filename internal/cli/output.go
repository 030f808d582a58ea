package cli

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"
)

// outputFlags are the flags for the output format of commands that show data.
type outputFlags struct {
	format string
}

// addTo adds the flags to a command.
func (o *outputFlags) addTo(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&o.format, "output", "o", "text", "output format: text or json")
}

// print prints v as indented JSON, or calls text to print it as text. Errors: ErrUsage.
func (o *outputFlags) print(cmd *cobra.Command, v any, text func()) error {
	switch o.format {
	case "text":
		text()
		return nil
	case "json":
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	return ErrUsage.New("invalid output format %q: expected text or json", o.format)
}

// printLine prints a formatted line to standard output.
func printLine(cmd *cobra.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), format+"\n", args...)
}
