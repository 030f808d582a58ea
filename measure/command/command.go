// Package command is the command line of poplarshore-measure, which runs the
// measurements.
package command

import (
	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"
)

var namespace = errorx.NewNamespace("measure")

var (
	// ErrFlag reports a flag with an invalid value, such as an unknown mechanism
	// or the name of a page that can't be read or written.
	ErrFlag = namespace.NewType("flag")
	// ErrViolation reports a soak run that violated guarantees to callers.
	ErrViolation = namespace.NewType("promise")
)

// defaultFiguresDir is relative to the root of the repository.
const defaultFiguresDir = "docs/figures"

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:          "poplarshore-measure",
		Short:        "Measure the system against stand-ins on loopback",
		SilenceUsage: true,
	}
	root.AddCommand(slopesCommand(), entryCommand(), capacityCommand(), soakCommand())
	return root
}
