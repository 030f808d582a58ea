// Package scenario is a small language for scripted scenarios, on top of
// testscript. A script starts a whole environment on loopback, asks as callers
// and operators do, injects faults, and checks answers and the stand-ins' own
// counts. scenarios/README.md describes the commands.
package scenario

import (
	"context"
	"net/http"
	"os"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/standin/caller"
	"github.com/poplarshore/poplarshore/standin/environment"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

var namespace = errorx.NewNamespace("scenario")

// ErrScript reports a command that is used wrongly.
var ErrScript = namespace.NewType("script")

// stateKey finds a script's state.
type stateKey struct{}

// state is what a script has set up.
type state struct {
	env      *environment.Environment
	trial    *environment.Environment
	keys     string
	last     caller.Answer
	prompt   string
	sessions map[string]string
	loads    map[string]*load
	client   *http.Client
}

// Setup gives a script its state. It is testscript.Params.Setup.
func Setup(env *testscript.Env) error {
	s := &state{
		sessions: make(map[string]string), loads: make(map[string]*load), keys: "demo-key",
		client: &http.Client{Transport: &http.Transport{}},
	}
	env.Values[stateKey{}] = s
	env.Defer(func() {
		for _, l := range s.loads {
			l.end()
		}
		for _, e := range []*environment.Environment{s.env, s.trial} {
			if e != nil {
				e.Close()
			}
		}
	})
	return nil
}

// Commands returns the commands of the language.
func Commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"start": start, "trial": startTrial, "startvm": startVM, "stopvm": stopVM, "killvm": killVM,
		"account": account, "ask": ask, "call": call, "resume": resume, "cut": cut,
		"refused": refused, "answered": answered, "status": status, "body": body,
		"fault": injectFault, "heal": heal, "publish": publish, "inforce": inForce, "drain": drain,
		"runs": runs, "refusals": refusals, "leaving": leaving, "atmostonce": atMostOnce, "ready": ready,
		"control": control, "stopcontrol": stopControl, "stopped": stopped, "rollout": rolloutPhase, "loaded": loaded, "totals": totals,
		"replace": replace, "load": startLoad, "endload": endLoad, "poplarshore": operate,
	}
}

func of(ts *testscript.TestScript) *state {
	return ts.Value(stateKey{}).(*state)
}

// environment returns the running environment.
func (s *state) environment(ts *testscript.TestScript) *environment.Environment {
	if s.env == nil {
		ts.Fatalf("no environment is running; use start")
	}
	return s.env
}

// caller returns a caller of an entry VM; empty means the first one running.
func (s *state) caller(ts *testscript.TestScript, id string) *caller.Caller {
	env := s.environment(ts)
	if id == "" {
		id = string(env.First())
	}
	d := env.VM(vm.ID(id))
	if d == nil {
		ts.Fatalf("VM %q is not running", id)
	}
	return &caller.Caller{Address: d.CallersAddress(), Key: s.keys, Client: s.client}
}

// start FILE VM@DOMAIN... starts an environment.
func start(ts *testscript.TestScript, neg bool, args []string) {
	s := of(ts)
	s.env = run(ts, neg, args, quick)
}

// trial FILE VM@DOMAIN... starts a trial environment beside the other one.
func startTrial(ts *testscript.TestScript, neg bool, args []string) {
	s := of(ts)
	s.trial = run(ts, neg, args, func(e *settings.Entry) {
		quick(e)
		e.Promotion = settings.Promotion{Role: settings.RoleTrial, KeyFile: e.OperatorTokenFile}
	})
}

func run(ts *testscript.TestScript, neg bool, args []string, set func(*settings.Entry)) *environment.Environment {
	plain(ts, neg)
	args, flags := split(ts, args, "production")
	if len(args) < 2 {
		ts.Fatalf("usage: start FILE VM@DOMAIN...")
	}
	if flags["production"] != "" {
		inner := set
		set = func(e *settings.Entry) {
			inner(e)
			e.Promotion = settings.Promotion{Role: settings.RoleProduction, KeyFile: e.OperatorTokenFile}
		}
	}
	opts := environment.Options{Document: []byte(text(ts, args[0]))}
	for _, arg := range args[1:] {
		opts.VMs = append(opts.VMs, vmOf(ts, arg, set))
	}
	env, err := environment.Start(context.Background(), opts)
	ts.Check(err)
	return env
}

// The limits of a script's VMs, in milliseconds: short, so that silence is
// found soon.
const (
	quickIdle  = 400
	quickStore = 500
	quickBill  = 300
	quickFresh = 3000
)

func quick(s *settings.Entry) {
	s.Timeouts.HeadersMS, s.Timeouts.IdleMS, s.Timeouts.StoreMS = quickIdle, quickIdle, quickStore
	s.Timeouts.FreshForMS, s.Timeouts.BillMS = quickFresh, quickBill
	s.Timeouts.ServiceIdleMS = quickIdle
	s.Timeouts.ReportsPeriodMS = 100
}

func vmOf(ts *testscript.TestScript, arg string, set func(*settings.Entry)) environment.VM {
	id, domain, ok := strings.Cut(arg, "@")
	if !ok {
		ts.Fatalf("%q is not VM@DOMAIN", arg)
	}
	return environment.VM{ID: vm.ID(id), Domain: domain, Settings: set}
}

// startvm VM@DOMAIN starts one more entry VM.
func startVM(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 1, "startvm VM@DOMAIN")
	_, err := of(ts).environment(ts).StartVM(vmOf(ts, args[0], quick))
	ts.Check(err)
}

// stopvm VM stops an entry VM as planned, without cutting off a request.
func stopVM(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 1, "stopvm VM")
	if cut := of(ts).environment(ts).StopVM(vm.ID(args[0])); cut > 0 {
		ts.Fatalf("the stop cut off %d requests", cut)
	}
}

// killvm VM ends an entry VM at once.
func killVM(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 1, "killvm VM")
	of(ts).environment(ts).KillVM(vm.ID(args[0]))
}

// publish FILE puts a document in force on every running VM.
func publish(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 1, "publish FILE")
	env := of(ts).environment(ts)
	ts.Check(env.Publish([]byte(text(ts, args[0]))))
	ts.Check(env.AwaitRevision(context.Background(), env.Published()))
}

// drain UPSTREAM makes an engine leave.
func drain(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 1, "drain UPSTREAM")
	e := of(ts).environment(ts).Engines[upstream.ID(args[0])]
	if e == nil {
		ts.Fatalf("engine %q does not exist", args[0])
	}
	e.Drain()
}

// text returns an example document by its name, or a file of the script.
func text(ts *testscript.TestScript, name string) string {
	switch name {
	case "quickstart":
		return string(examples.Quickstart)
	case "permisos-viales":
		return string(examples.PermisosViales)
	case "hsinchu":
		return string(examples.Hsinchu)
	}
	return ts.ReadFile(name)
}

// replace OLD NEW FROM TO writes the document FROM, with all OLD replaced by
// NEW, to the file TO.
func replace(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 4, "replace OLD NEW FROM TO")
	from := text(ts, args[2])
	if !strings.Contains(from, args[0]) {
		ts.Fatalf("%s does not contain %q", args[2], args[0])
	}
	write(ts, args[3], strings.ReplaceAll(from, args[0], args[1]))
}

// account KEY sets the key that callers show.
func account(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 1, "account KEY")
	of(ts).keys = args[0]
}

// plain refuses a negated command.
func plain(ts *testscript.TestScript, neg bool) {
	if neg {
		ts.Fatalf("the command can't be negated")
	}
}

func need(ts *testscript.TestScript, args []string, n int, usage string) {
	if len(args) != n {
		ts.Fatalf("usage: %s", usage)
	}
}

// split takes flags of the form -name=value, or -name for "true", out of args.
func split(ts *testscript.TestScript, args []string, known ...string) ([]string, map[string]string) {
	flags := make(map[string]string)
	var rest []string
	for _, arg := range args {
		name, ok := strings.CutPrefix(arg, "-")
		if !ok {
			rest = append(rest, arg)
			continue
		}
		name, value, given := strings.Cut(name, "=")
		if !given {
			value = "true"
		}
		if !contains(known, name) {
			ts.Fatalf("unknown flag -%s; known are %v", name, known)
		}
		flags[name] = value
	}
	return rest, flags
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// write keeps text in a file of the script, for grep and cmp.
func write(ts *testscript.TestScript, name, text string) {
	ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
}
