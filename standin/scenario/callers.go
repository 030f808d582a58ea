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

// Minimum and maximum length of an answer for which the request sets no limit, in tokens. They must
// equal the bounds that package environment sets on its engines.
const (
	minTokens = 8
	maxTokens = 32
)

// sendCompletion implements the command
//
//	ask [-stream] [-session=NAME] [-vm=VM] [-deadline=MS] [-killvm=VM -after=N] MODEL PROMPT
//
// It sends a completion request and records the answer for the commands that check it. With -session
// the request belongs to the named session, which the first such request creates. With -killvm the
// VM is killed when the caller has received N pieces of a streamed answer.
func sendCompletion(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	s := stateOf(ts)
	args, flags := parseFlags(ts, args, "stream", "session", "vm", "deadline", "killvm", "after")
	requireArgs(ts, args, 2, "ask [-stream] [-session=NAME] [-vm=VM] [-deadline=MS] [-killvm=VM -after=N] MODEL PROMPT")
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
		after := parseNumber(ts, flags["after"])
		c.OnPiece = func(pieces int) {
			if pieces == after {
				s.env.KillVM(vm.ID(id))
			}
		}
	}
	answer, err := c.Chat(context.Background(), caller.NewRequest(args[0], args[1], flags["stream"] != ""), headers)
	ts.Check(err)
	if token := answer.Header.Get("Poplarshore-Session"); token != "" {
		s.sessions[flags["session"]] = token
	}
	s.recordAnswer(ts, answer, args[1])
}

// callService implements the command
//
//	call [-key=KEY] [-vm=VM] METHOD PATH [BODY]
//
// It sends a request to a plain service, with KEY as the idempotency key, and records the answer.
func callService(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	s := stateOf(ts)
	args, flags := parseFlags(ts, args, "key", "vm")
	if len(args) < 2 || len(args) > 3 {
		ts.Fatalf("usage: call [-key=KEY] [-vm=VM] METHOD PATH [BODY]")
	}
	headers := make(map[string]string)
	if flags["key"] != "" {
		headers["Idempotency-Key"] = flags["key"]
	}
	var requestBody []byte
	if len(args) == 3 {
		requestBody = []byte(args[2])
	}
	answer, err := s.caller(ts, flags["vm"]).Do(context.Background(), args[0], args[1], requestBody, headers)
	ts.Check(err)
	s.recordAnswer(ts, answer, "")
}

// resumeStream implements the command
//
//	resume [-vm=VM]
//
// It resumes the last recorded stream after the last piece received. The recorded text is that of
// both parts.
func resumeStream(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	s := stateOf(ts)
	_, flags := parseFlags(ts, args, "vm")
	interrupted := s.lastAnswer
	answer, err := s.caller(ts, flags["vm"]).Resume(context.Background(), interrupted.Header.Get("Poplarshore-Resume"), interrupted.LastEventID)
	ts.Check(err)
	answer.Text = interrupted.Text + answer.Text
	s.recordAnswer(ts, answer, s.lastPrompt)
}

// recordAnswer stores the answer and its prompt for the commands that check them, and writes the body
// to the script's file "body".
func (s *state) recordAnswer(ts *testscript.TestScript, answer caller.Answer, prompt string) {
	s.lastAnswer, s.lastPrompt = answer, prompt
	writeFile(ts, "body", string(answer.Body))
	ts.Logf("status %d, complete %v, model %s@%s, reason %q, ran %q", answer.Status, answer.Complete,
		answer.Header.Get("Poplarshore-Model"), answer.Header.Get("Poplarshore-Version"), answer.Reason, answer.Ran)
}

// checkAnswered implements the command
//
//	answered [MODEL[@VERSION]]
//
// It checks that the last answer is complete, is the one that its model version gives to the prompt,
// and comes from the given model or model version, if any.
func checkAnswered(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	s := stateOf(ts)
	name, version := s.lastAnswer.Header.Get("Poplarshore-Model"), s.lastAnswer.Header.Get("Poplarshore-Version")
	if s.lastAnswer.Reason != "" || !s.lastAnswer.Complete {
		ts.Fatalf("expected a complete answer, got status %d, refusal reason %q", s.lastAnswer.Status, s.lastAnswer.Reason)
	}
	if !engine.IsAnswer(s.lastAnswer.Text, name, version, s.lastPrompt, minTokens, maxTokens, 0) {
		ts.Fatalf("text %q is not the expected answer of %s@%s to the prompt %q", s.lastAnswer.Text, name, version, s.lastPrompt)
	}
	if len(args) > 0 && args[0] != name && args[0] != name+"@"+version {
		ts.Fatalf("answer comes from %s@%s, expected %s", name, version, args[0])
	}
}

// checkCut implements the command
//
//	cut
//
// It checks that the last answer was truncated; negated, that it is complete.
func checkCut(ts *testscript.TestScript, neg bool, _ []string) {
	if stateOf(ts).lastAnswer.Complete != neg {
		ts.Fatalf("unexpected state of the last answer: complete is %v", stateOf(ts).lastAnswer.Complete)
	}
}

// checkRefused implements the command
//
//	refused REASON [RAN]
//
// It checks that the last request was refused for REASON. RAN ("yes", "no" or "unknown") is whether
// the refusal says that the request was executed; body and header must agree.
func checkRefused(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	last := stateOf(ts).lastAnswer
	if len(args) == 0 || last.Reason != args[0] {
		ts.Fatalf("unexpected refusal reason %q, status %d", last.Reason, last.Status)
	}
	if len(args) > 1 && (last.Ran != args[1] || last.Header.Get("Poplarshore-Ran") != args[1]) {
		ts.Fatalf("the refusal has an unexpected value of ran: %q", last.Ran)
	}
}

// checkStatus implements the command
//
//	status CODE
//
// It checks the HTTP status of the last answer.
func checkStatus(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	requireArgs(ts, args, 1, "status CODE")
	if gotStatus := strconv.Itoa(stateOf(ts).lastAnswer.Status); gotStatus != args[0] {
		ts.Fatalf("unexpected status %s with body: %s", gotStatus, stateOf(ts).lastAnswer.Body)
	}
}

// checkBody implements the command
//
//	body TEXT
//
// It checks that the body of the last answer equals TEXT; negated, that it differs.
func checkBody(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, "body TEXT")
	if (string(stateOf(ts).lastAnswer.Body) == args[0]) == neg {
		ts.Fatalf("unexpected body %q", stateOf(ts).lastAnswer.Body)
	}
}

// awaitReadiness implements the command
//
//	ready VM
//
// It waits until the VM reports to the balancer that it is ready; negated, that it is not ready.
func awaitReadiness(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, "ready VM")
	wantStatus := http.StatusOK
	if neg {
		wantStatus = http.StatusServiceUnavailable
	}
	for range maxReadyPolls {
		if stateOf(ts).readinessStatus(ts, args[0]) == wantStatus {
			return
		}
	}
	ts.Fatalf("VM %q did not answer /readyz with status %d in time", args[0], wantStatus)
}
