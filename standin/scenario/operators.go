package scenario

import (
	"bytes"
	"context"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/poplarshore/poplarshore/internal/cli"
	"github.com/poplarshore/poplarshore/standin/environment"
	"github.com/poplarshore/poplarshore/vm"
)

// runOperatorCommand implements the command
//
//	poplarshore [-code=N] ARGS...
//
// It runs the operators' command line and writes its standard output and standard error to the files
// "out" and "err". In the arguments, @VM is replaced by the URL of the VM's operator port, @trial/VM
// by that of a VM of the trial environment, @token by the path of the token file, and a name that
// ends in .json by the path of that file of the script. With -code the exit code must be N. Without
// it the command must succeed; negated, it must fail.
func runOperatorCommand(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	wantCode := -1
	if len(args) > 0 && strings.HasPrefix(args[0], "-code=") {
		wantCode = parseNumber(ts, strings.TrimPrefix(args[0], "-code="))
		args = args[1:]
	}
	var stdout, stderr bytes.Buffer
	cmd := cli.New()
	cmd.SetOut(&stdout)
	cmd.SetErr(&stderr)
	cmd.SetArgs(s.expandArgs(ts, args))
	code := cli.ExitCode(cmd.ExecuteContext(context.Background()))
	writeFile(ts, "out", stdout.String())
	writeFile(ts, "err", stderr.String())
	ts.Logf("exit code %d\n%s%s", code, stdout.String(), stderr.String())
	switch {
	case wantCode >= 0 && code != wantCode:
		ts.Fatalf("exit code is %d, expected %d", code, wantCode)
	case wantCode < 0 && (code != cli.ExitOK) != neg:
		ts.Fatalf("unexpected exit code %d", code)
	}
}

// expandArgs returns the arguments with the placeholders of runOperatorCommand replaced.
func (s *state) expandArgs(ts *testscript.TestScript, args []string) []string {
	expanded := make([]string, len(args))
	for i, arg := range args {
		switch {
		case arg == "@token":
			expanded[i] = s.environment(ts).SecretFile("operator")
		case strings.HasPrefix(arg, "@trial/"):
			expanded[i] = operatorsURL(ts, s.trial, strings.TrimPrefix(arg, "@trial/"))
		case strings.HasPrefix(arg, "@"):
			expanded[i] = operatorsURL(ts, s.environment(ts), strings.TrimPrefix(arg, "@"))
		case strings.HasSuffix(arg, ".json"):
			expanded[i] = ts.MkAbs(arg)
		default:
			expanded[i] = arg
		}
	}
	return expanded
}

// operatorsURL returns the base URL of a VM's operator port. The script fails if the VM isn't running.
func operatorsURL(ts *testscript.TestScript, env *environment.Environment, id string) string {
	if env == nil || env.VM(vm.ID(id)) == nil {
		ts.Fatalf("VM %q is not running", id)
	}
	return "http://" + env.VM(vm.ID(id)).OperatorsAddress()
}

// awaitInForce implements the command
//
//	inforce N
//
// It waits until the configuration revision N or a later one is in force on every running VM.
func awaitInForce(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 1, "inforce N")
	n, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	ts.Check(stateOf(ts).environment(ts).AwaitRevision(context.Background(), n))
}
