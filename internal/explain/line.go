package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/vm"
)

var namespace = errorx.NewNamespace("explain")

var (
	// ErrRead reports a log that can't be read, or has a line of more than 1 MiB.
	ErrRead = namespace.NewType("read")
	// ErrUnknown reports a request that the logs have no request line of.
	ErrUnknown = namespace.NewType("unknown")
)

// Line is one line of a log. Fields that the line doesn't have are zero.
type Line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	VM      vm.ID     `json:"vm"`
	// Request and the fields up to Detail are those of a request line, which a VM
	// logs at the end of a request. TookMS is the duration of the request, LeftMS
	// the time that was left until its deadline. Lines about configurations have
	// Config, too.
	Request  string    `json:"request"`
	Outcome  string    `json:"outcome"`
	Status   int       `json:"status"`
	Route    string    `json:"route"`
	Account  string    `json:"account"`
	Service  string    `json:"service"`
	Config   int64     `json:"config"`
	Attempts []Attempt `json:"attempts"`
	TookMS   int64     `json:"ms"`
	LeftMS   int64     `json:"left_ms"`
	// Detail is what a refusal says beside its reason; empty for none.
	Detail string `json:"detail"`
	// Aborted is what the caller got if the end of a planned stop's grace ended the request:
	// answered (with Status), cut or unsent; otherwise empty.
	Aborted string `json:"aborted"`
	// Upstream, Reader, Table and Domain identify the subject of other lines.
	Upstream string `json:"upstream"`
	Reader   string `json:"reader"`
	Table    string `json:"table"`
	Domain   string `json:"domain"`
	// Text is the JSON object as it was written.
	Text string `json:"-"`
}

// Attempt is one attempt at an upstream.
type Attempt struct {
	Upstream string `json:"upstream"`
	Version  string `json:"version"`
	Model    string `json:"model"`
	Outcome  string `json:"outcome"`
	// ExpectedMS is how long the upstream was expected to be busy with earlier
	// requests.
	ExpectedMS int64 `json:"expected"`
	// AtMS is the start of the attempt after the start of the request.
	AtMS int64 `json:"at"`
	// FirstMS is the time to the first event, PauseMS the longest pause between
	// events; 0 means that it was not logged.
	FirstMS int64 `json:"first"`
	PauseMS int64 `json:"pause"`
	// Confidence is nil if the response had none.
	Confidence *int `json:"confidence"`
	// TookMS is the duration of the attempt.
	TookMS int64 `json:"ms"`
}

// maxLineBytes bounds the length of a line.
const maxLineBytes = 1 << 20

// Read calls handle for each line of a log that is a JSON object with a time and a
// message, and skips others. Errors: ErrRead.
func Read(r io.Reader, handle func(Line)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parse(scanner.Bytes()); ok {
			handle(l)
		}
	}
	if err := scanner.Err(); err != nil {
		return ErrRead.Wrap(err, "log")
	}
	return nil
}

// parse decodes a line; false means that it is not a line of the gateway.
func parse(text []byte) (Line, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	var l Line
	if err := json.Unmarshal(text[i:], &l); err != nil || l.Message == "" || l.Time.IsZero() {
		// The line was written by another program.
		return Line{}, false
	}
	l.Text = string(text[i:])
	return l, true
}
