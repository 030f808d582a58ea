package scenario

import (
	"context"
	"net/http"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/poplarshore/poplarshore/standin/caller"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/vm"
)

// The bounds on a natural answer of the environment's engines, in tokens.
const (
	minTokens = 8
	maxTokens = 32
)

// ask [-stream] [-session=NAME] [-vm=VM] [-deadline=MS] [-killvm=VM -after=N]
// MODEL PROMPT sends a completion request and keeps the answer. With -killvm
// the VM is ended at once after the caller has got N pieces.
func ask(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	s := of(ts)
	args, flags := split(ts, args, "stream", "session", "vm", "deadline", "killvm", "after")
	need(ts, args, 2, "ask [-stream] [-session=NAME] [-vm=VM] [-deadline=MS] [-killvm=VM -after=N] MODEL PROMPT")
	headers := make(map[string]string)
	if flags["deadline"] != "" {
		headers["Poplarshore-Deadline-Ms"] = flags["deadline"]
	}
	if name := flags["session"]; name != "" {
		headers["Poplarshore-Session"] = "new"
		if token := s.sessions[name]; token != "" {
			headers["Poplarshore-Session"] = token
		}
	}
	c := s.caller(ts, flags["vm"])
	if id := flags["killvm"]; id != "" {
		after := number(ts, flags["after"])
		c.OnPiece = func(pieces int) {
			if pieces == after {
				s.env.KillVM(vm.ID(id))
			}
		}
	}
	a, err := c.Chat(context.Background(), caller.Ask(args[0], args[1], flags["stream"] != ""), headers)
	ts.Check(err)
	if token := a.Header.Get("Poplarshore-Session"); token != "" {
		s.sessions[flags["session"]] = token
	}
	s.keep(ts, a, args[1])
}

// call [-key=KEY] [-vm=VM] METHOD PATH [BODY] calls a plain service.
func call(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	s := of(ts)
	args, flags := split(ts, args, "key", "vm")
	if len(args) < 2 || len(args) > 3 {
		ts.Fatalf("usage: call [-key=KEY] [-vm=VM] METHOD PATH [BODY]")
	}
	headers := make(map[string]string)
	if flags["key"] != "" {
		headers["Idempotency-Key"] = flags["key"]
	}
	var text []byte
	if len(args) == 3 {
		text = []byte(args[2])
	}
	a, err := s.caller(ts, flags["vm"]).Do(context.Background(), args[0], args[1], text, headers)
	ts.Check(err)
	s.keep(ts, a, "")
}

// resume [-vm=VM] goes on with the stream that was kept last.
func resume(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	s := of(ts)
	_, flags := split(ts, args, "vm")
	before := s.last
	a, err := s.caller(ts, flags["vm"]).Resume(context.Background(), before.Header.Get("Poplarshore-Resume"), before.LastID)
	ts.Check(err)
	a.Text = before.Text + a.Text
	s.keep(ts, a, s.prompt)
}

func (s *state) keep(ts *testscript.TestScript, a caller.Answer, prompt string) {
	s.last, s.prompt = a, prompt
	write(ts, "body", string(a.Body))
	ts.Logf("status %d, whole %v, model %s@%s, reason %q, ran %q", a.Status, a.Whole,
		a.Header.Get("Poplarshore-Model"), a.Header.Get("Poplarshore-Version"), a.Reason, a.Ran)
}

// answered [MODEL[@VERSION]] checks that the last answer is whole and the
// caller's own.
func answered(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	s := of(ts)
	name, version := s.last.Header.Get("Poplarshore-Model"), s.last.Header.Get("Poplarshore-Version")
	if s.last.Reason != "" || !s.last.Whole {
		ts.Fatalf("no whole answer: status %d, reason %q", s.last.Status, s.last.Reason)
	}
	if !engine.IsAnswer(s.last.Text, name, version, s.prompt, minTokens, maxTokens, 0) {
		ts.Fatalf("%q is not the answer of %s@%s to %q", s.last.Text, name, version, s.prompt)
	}
	if len(args) > 0 && args[0] != name && args[0] != name+"@"+version {
		ts.Fatalf("answered by %s@%s, not by %s", name, version, args[0])
	}
}

// cut checks that the last answer broke off.
func cut(ts *testscript.TestScript, neg bool, _ []string) {
	if of(ts).last.Whole != neg {
		ts.Fatalf("whole is %v", of(ts).last.Whole)
	}
}

// refused REASON [RAN] checks that the last request was refused.
func refused(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	last := of(ts).last
	if len(args) == 0 || last.Reason != args[0] {
		ts.Fatalf("reason is %q, status %d", last.Reason, last.Status)
	}
	if len(args) > 1 && (last.Ran != args[1] || last.Header.Get("Poplarshore-Ran") != args[1]) {
		ts.Fatalf("ran is %q", last.Ran)
	}
}

// status CODE checks the status of the last answer.
func status(ts *testscript.TestScript, neg bool, args []string) {
	plain(ts, neg)
	need(ts, args, 1, "status CODE")
	if got := strconv.Itoa(of(ts).last.Status); got != args[0] {
		ts.Fatalf("status is %s: %s", got, of(ts).last.Body)
	}
}

// body TEXT checks the whole body of the last answer.
func body(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, args, 1, "body TEXT")
	if (string(of(ts).last.Body) == args[0]) == neg {
		ts.Fatalf("body is %q", of(ts).last.Body)
	}
}

// ready [-not] VM checks what the balancer is told.
func ready(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, args, 1, "ready VM")
	want := http.StatusOK
	if neg {
		want = http.StatusServiceUnavailable
	}
	for range readyTries {
		if of(ts).readiness(ts, args[0]) == want {
			return
		}
	}
	ts.Fatalf("VM %q never answered status %d", args[0], want)
}
