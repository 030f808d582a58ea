// Package command is the command line of the measurements.
package command

import (
	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"
)

var namespace = errorx.NewNamespace("measure")

var (
	// ErrFlag reports a flag whose value is malformed.
	ErrFlag = namespace.NewType("flag")
	// ErrPromise reports a run that broke a promise.
	ErrPromise = namespace.NewType("promise")
)

const defaultFigures = "docs/figures"

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:          "poplarshore-measure",
		Short:        "Measure the system with small stand-ins on loopback",
		SilenceUsage: true,
	}
	root.AddCommand(slopesCommand(), entryCommand(), capacityCommand(), soakCommand())
	return root
}
