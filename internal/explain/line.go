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
	// ErrRead reports a log that can't be read.
	ErrRead = namespace.NewType("read")
	// ErrUnknown reports a request that no line names.
	ErrUnknown = namespace.NewType("unknown")
)

// Line is one line of a log.
type Line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	VM      vm.ID     `json:"vm"`
	// Request, Outcome and the fields after them stand in a request's own line.
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
	// Upstream, Reader and Table name what a line is about.
	Upstream string `json:"upstream"`
	Reader   string `json:"reader"`
	Table    string `json:"table"`
	// Text is the line as it was written.
	Text string `json:"-"`
}

// Attempt is one attempt at an upstream.
type Attempt struct {
	Upstream   string `json:"upstream"`
	Version    string `json:"version"`
	Model      string `json:"model"`
	Outcome    string `json:"outcome"`
	ExpectedMS int64  `json:"expected"`
	AtMS       int64  `json:"at"`
	FirstMS    int64  `json:"first"`
	PauseMS    int64  `json:"pause"`
	Confidence *int   `json:"confidence"`
	TookMS     int64  `json:"ms"`
}

// maxLineBytes bounds one line.
const maxLineBytes = 1 << 20

// Read passes the lines of a log to take. Errors: ErrRead.
func Read(r io.Reader, take func(Line)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parse(scanner.Bytes()); ok {
			take(l)
		}
	}
	if err := scanner.Err(); err != nil {
		return ErrRead.Wrap(err, "log")
	}
	return nil
}

func parse(text []byte) (Line, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	var l Line
	if err := json.Unmarshal(text[i:], &l); err != nil || l.Message == "" || l.Time.IsZero() {
		// A line of another program.
		return Line{}, false
	}
	l.Text = string(text[i:])
	return l, true
}
