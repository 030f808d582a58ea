package scenarios_test

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/poplarshore/poplarshore/standin/scenario"
)

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		Setup:               scenario.Setup,
		Cmds:                scenario.Commands(),
		RequireExplicitExec: true,
	})
}
