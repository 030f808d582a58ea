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

// poplarshore [-code=N] ARGS... runs the operators' command line; what it
// prints is kept in the files out and err. In the arguments @VM stands for the
// URL of a VM's operator port, @trial/VM for one of the trial environment, and
// @token for the token file. Without -code the command must succeed, negated
// it must fail.
func operate(ts *testscript.TestScript, neg bool, args []string) {
	s := of(ts)
	want := -1
	if len(args) > 0 && strings.HasPrefix(args[0], "-code=") {
		want = number(ts, strings.TrimPrefix(args[0], "-code="))
		args = args[1:]
	}
	var out, errs bytes.Buffer
	cmd := cli.New()
	cmd.SetOut(&out)
	cmd.SetErr(&errs)
	cmd.SetArgs(s.expand(ts, args))
	code := cli.ExitCode(cmd.ExecuteContext(context.Background()))
	write(ts, "out", out.String())
	write(ts, "err", errs.String())
	ts.Logf("exit code %d\n%s%s", code, out.String(), errs.String())
	switch {
	case want >= 0 && code != want:
		ts.Fatalf("exit code is %d, not %d", code, want)
	case want < 0 && (code != cli.ExitOK) != neg:
		ts.Fatalf("exit code is %d", code)
	}
}

func (s *state) expand(ts *testscript.TestScript, args []string) []string {
	out := make([]string, len(args))
	for i, arg := range args {
		switch {
		case arg == "@token":
			out[i] = s.environment(ts).Secret("operator")
		case strings.HasPrefix(arg, "@trial/"):
			out[i] = operatorsURL(ts, s.trial, strings.TrimPrefix(arg, "@trial/"))
		case strings.HasPrefix(arg, "@"):
			out[i] = operatorsURL(ts, s.environment(ts), strings.TrimPrefix(arg, "@"))
		case strings.HasSuffix(arg, ".json"):
			out[i] = ts.MkAbs(arg)
		default:
			out[i] = arg
		}
	}
	return out
}

func operatorsURL(ts *testscript.TestScript, env *environment.Environment, id string) string {
	if env == nil || env.VM(vm.ID(id)) == nil {
		ts.Fatalf("VM %q is not running", id)
	}
	return "http://" + env.VM(vm.ID(id)).OperatorsAddress()
}

// inforce N waits until every running VM works by revision N.
func inForce(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 1, "inforce N")
	n, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	ts.Check(of(ts).environment(ts).AwaitRevision(context.Background(), n))
}
