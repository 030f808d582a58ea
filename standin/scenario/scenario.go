// Package scenario provides testscript commands for end-to-end scenarios. A script starts a complete
// environment on loopback, sends requests as callers and operators do, injects faults, and checks the
// answers and the counters of the stand-ins. scenarios/README.md describes the commands.
//
// Pass Setup and Commands to testscript.Params.
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

// ErrScript is the error type of invalid uses of a command.
var ErrScript = namespace.NewType("script")

// stateKey is the key of a script's state in testscript.Env.Values.
type stateKey struct{}

// state is the state of one script.
type state struct {
	// env is the main environment and trial the trial environment; nil if not started.
	env   *environment.Environment
	trial *environment.Environment
	// callerKey is the key of the client account that callers use.
	callerKey string
	// lastAnswer is the last recorded answer, and lastPrompt the prompt that it answers.
	lastAnswer caller.Answer
	lastPrompt string
	// sessions holds the newest session token by the session's name in the script.
	sessions map[string]string
	loads    map[string]*load
	client   *http.Client
}

// Setup initializes the state of a script, and closes its loads and environments when the script ends.
// Use it as testscript.Params.Setup.
func Setup(env *testscript.Env) error {
	s := &state{
		sessions: make(map[string]string), loads: make(map[string]*load), callerKey: "demo-key",
		client: &http.Client{Transport: &http.Transport{}},
	}
	env.Values[stateKey{}] = s
	env.Defer(func() {
		for _, l := range s.loads {
			l.stop()
		}
		for _, e := range []*environment.Environment{s.env, s.trial} {
			if e != nil {
				e.Close()
			}
		}
	})
	return nil
}

// Commands returns the scenario commands by name. Use it as testscript.Params.Cmds.
func Commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"start": startMain, "trial": startTrial, "startvm": startVM, "stopvm": stopVM, "killvm": killVM,
		"account": setAccountKey, "ask": sendCompletion, "call": callService, "resume": resumeStream, "cut": checkCut,
		"refused": checkRefused, "answered": checkAnswered, "status": checkStatus, "body": checkBody,
		"fault": injectFault, "heal": clearFaults, "publish": publish, "inforce": awaitInForce, "drain": drainEngine,
		"runs": checkRuns, "refusals": checkRefusals, "leaving": awaitLeaving, "atmostonce": checkAtMostOnce, "ready": awaitReadiness,
		"control": startControl, "stopcontrol": stopControl, "stopped": awaitStopped, "rollout": awaitRolloutPhase, "loaded": awaitLoaded, "totals": awaitTotals,
		"replace": replace, "load": startLoad, "endload": endLoad, "poplarshore": runOperatorCommand,
	}
}

// stateOf returns the state of the running script.
func stateOf(ts *testscript.TestScript) *state {
	return ts.Value(stateKey{}).(*state)
}

// environment returns the running environment. Without one the script fails.
func (s *state) environment(ts *testscript.TestScript) *environment.Environment {
	if s.env == nil {
		ts.Fatalf("no environment is running; use start")
	}
	return s.env
}

// caller returns a client of an entry VM that uses the current account's key. An empty id selects the
// first running VM.
func (s *state) caller(ts *testscript.TestScript, id string) *caller.Caller {
	env := s.environment(ts)
	if id == "" {
		id = string(env.FirstVM())
	}
	daemon := env.VM(vm.ID(id))
	if daemon == nil {
		ts.Fatalf("VM %q is not running", id)
	}
	return &caller.Caller{Address: daemon.CallersAddress(), Key: s.callerKey, Client: s.client}
}

// startMain implements the command
//
//	start [-production] [-patient] FILE VM@DOMAIN...
//
// It starts the environment that all other commands use. With -production, its configuration can only
// be changed by promotion from a trial environment. With -patient, the VMs have the default idle
// timeouts; it is for scripts without silent connections, so that they don't depend on how soon a
// busy machine answers.
func startMain(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	s.env = startEnvironment(ts, neg, args, useShortTimeouts)
}

// startTrial implements the command
//
//	trial FILE VM@DOMAIN...
//
// It starts a trial environment in addition to the main one.
func startTrial(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	s.trial = startEnvironment(ts, neg, args, func(e *settings.Entry) {
		useShortTimeouts(e)
		e.Promotion = settings.Promotion{Role: settings.RoleTrial, KeyFile: e.OperatorTokenFile}
	})
}

// startEnvironment starts an environment whose VMs have the settings that configure sets.
func startEnvironment(ts *testscript.TestScript, neg bool, args []string, configure func(*settings.Entry)) *environment.Environment {
	rejectNegation(ts, neg)
	args, flags := parseFlags(ts, args, "production", "patient")
	if len(args) < 2 {
		ts.Fatalf("usage: start FILE VM@DOMAIN...")
	}
	if flags["production"] != "" {
		configureBase := configure
		configure = func(e *settings.Entry) {
			configureBase(e)
			e.Promotion = settings.Promotion{Role: settings.RoleProduction, KeyFile: e.OperatorTokenFile}
		}
	}
	if flags["patient"] != "" {
		configureBase := configure
		configure = func(e *settings.Entry) {
			configureBase(e)
			useDefaultIdleTimeouts(e)
		}
	}
	options := environment.Options{Document: []byte(documentText(ts, args[0]))}
	for _, arg := range args[1:] {
		options.VMs = append(options.VMs, parseVM(ts, arg, configure))
	}
	env, err := environment.Start(context.Background(), options)
	ts.Check(err)
	return env
}

// Timeouts of a script's VMs, in milliseconds. They are short so that a silent connection or store is
// detected early.
const (
	idleTimeoutMS  = 400
	storeTimeoutMS = 500
	billTimeoutMS  = 300
	freshForMS     = 3000
)

// useShortTimeouts sets the timeouts of an entry VM, and a report period of 100 ms.
func useShortTimeouts(s *settings.Entry) {
	s.Timeouts.HeadersMS, s.Timeouts.IdleMS, s.Timeouts.StoreMS = idleTimeoutMS, idleTimeoutMS, storeTimeoutMS
	s.Timeouts.FreshForMS, s.Timeouts.BillMS = freshForMS, billTimeoutMS
	s.Timeouts.ServiceIdleMS = idleTimeoutMS
	s.Timeouts.ReportsPeriodMS = 100
}

// useDefaultIdleTimeouts sets the idle timeouts of an entry VM to their defaults.
func useDefaultIdleTimeouts(s *settings.Entry) {
	defaults := settings.DefaultEntry().Timeouts
	s.Timeouts.HeadersMS, s.Timeouts.IdleMS, s.Timeouts.ServiceIdleMS = defaults.HeadersMS, defaults.IdleMS, defaults.ServiceIdleMS
}

// parseVM parses VM@DOMAIN.
func parseVM(ts *testscript.TestScript, arg string, configure func(*settings.Entry)) environment.VM {
	id, domain, ok := strings.Cut(arg, "@")
	if !ok {
		ts.Fatalf("%q is not of the form VM@DOMAIN", arg)
	}
	return environment.VM{ID: vm.ID(id), Domain: domain, ConfigureSettings: configure}
}

// startVM implements the command
//
//	startvm VM@DOMAIN
//
// It starts an additional entry VM and waits until it is ready.
func startVM(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 1, "startvm VM@DOMAIN")
	_, err := stateOf(ts).environment(ts).StartVM(parseVM(ts, args[0], useShortTimeouts))
	ts.Check(err)
}

// stopVM implements the command
//
//	stopvm VM
//
// It stops an entry VM gracefully and checks that the stop interrupted no request.
func stopVM(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 1, "stopvm VM")
	if interrupted := stateOf(ts).environment(ts).StopVM(vm.ID(args[0])); interrupted > 0 {
		ts.Fatalf("the stop interrupted %d requests, expected none", interrupted)
	}
}

// killVM implements the command
//
//	killvm VM
//
// It ends an entry VM at once, without draining.
func killVM(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 1, "killvm VM")
	stateOf(ts).environment(ts).KillVM(vm.ID(args[0]))
}

// publish implements the command
//
//	publish FILE
//
// It publishes a configuration document and waits until it is in force on every running VM.
func publish(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 1, "publish FILE")
	env := stateOf(ts).environment(ts)
	ts.Check(env.Publish([]byte(documentText(ts, args[0]))))
	ts.Check(env.AwaitRevision(context.Background(), env.PublishedRevision()))
}

// drainEngine implements the command
//
//	drain UPSTREAM
//
// It makes an engine announce that it is leaving and refuse new work.
func drainEngine(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 1, "drain UPSTREAM")
	e := stateOf(ts).environment(ts).Engines[upstream.ID(args[0])]
	if e == nil {
		ts.Fatalf("engine %q does not exist", args[0])
	}
	e.Drain()
}

// documentText returns the example document with the given name or, if there is none, the content of
// that file of the script.
func documentText(ts *testscript.TestScript, name string) string {
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

// replace implements the command
//
//	replace OLD NEW FROM TO
//
// It writes the document FROM, with every occurrence of OLD replaced by NEW, to the file TO. It fails
// if OLD does not occur.
func replace(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 4, "replace OLD NEW FROM TO")
	original := documentText(ts, args[2])
	if !strings.Contains(original, args[0]) {
		ts.Fatalf("%s does not contain %q", args[2], args[0])
	}
	writeFile(ts, args[3], strings.ReplaceAll(original, args[0], args[1]))
}

// setAccountKey implements the command
//
//	account KEY
//
// It sets the key of the client account for the requests that follow. The initial key is demo-key.
func setAccountKey(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 1, "account KEY")
	stateOf(ts).callerKey = args[0]
}

// rejectNegation fails the script if the command is negated.
func rejectNegation(ts *testscript.TestScript, neg bool) {
	if neg {
		ts.Fatalf("this command can't be negated")
	}
}

// requireArgs fails the script unless the command has n arguments.
func requireArgs(ts *testscript.TestScript, args []string, n int, usage string) {
	if len(args) != n {
		ts.Fatalf("usage: %s", usage)
	}
}

// parseFlags separates the flags from the positional arguments and returns both. A flag has the form
// -name=value, or -name for the value "true"; its name must be among the known ones.
func parseFlags(ts *testscript.TestScript, args []string, known ...string) ([]string, map[string]string) {
	flags := make(map[string]string)
	var rest []string
	for _, arg := range args {
		name, ok := strings.CutPrefix(arg, "-")
		if !ok {
			rest = append(rest, arg)
			continue
		}
		name, value, hasValue := strings.Cut(name, "=")
		if !hasValue {
			value = "true"
		}
		if !contains(known, name) {
			ts.Fatalf("unknown flag -%s; the flags of this command are %v", name, known)
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

// writeFile writes text to a file of the script, where the grep and cmp commands can read it.
func writeFile(ts *testscript.TestScript, name, text string) {
	ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
}
