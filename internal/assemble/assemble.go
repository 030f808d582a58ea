// Package assemble builds a whole answer from the chunks of a streamed one, in
// the shapes of the usual completion APIs.
package assemble

import (
	"encoding/json"
	"strings"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("assemble")

// ErrChunk reports a chunk that is not the JSON expected.
var ErrChunk = namespace.NewType("chunk")

// Usage is the number of tokens that an answer took.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

type function struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

type toolCall struct {
	Index    int      `json:"index"`
	ID       string   `json:"id,omitempty"`
	Type     string   `json:"type,omitempty"`
	Function function `json:"function"`
}

type delta struct {
	Role      string     `json:"role,omitempty"`
	Content   string     `json:"content,omitempty"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type chunk struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage"`
}

type message struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

type part struct {
	role   string
	text   strings.Builder
	calls  []toolCall
	finish string
}

// Assembler collects the chunks of one answer.
type Assembler struct {
	// Chat tells the chat shape from the plain completion shape.
	Chat bool

	head  chunk
	parts []*part
	usage Usage
}

// maxChoices bounds the choices of one answer.
const maxChoices = 128

// Add takes the next chunk. It returns ErrChunk for one that can't be read.
func (a *Assembler) Add(data string) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return ErrChunk.Wrap(err, "chunk")
	}
	if a.head.ID == "" {
		a.head = chunk{ID: c.ID, Created: c.Created, Model: c.Model}
	}
	if c.Usage != nil {
		a.usage = *c.Usage
	}
	for _, ch := range c.Choices {
		if ch.Index < 0 || ch.Index >= maxChoices {
			return ErrChunk.New("choice index %d is out of range", ch.Index)
		}
		a.part(ch.Index).add(ch)
	}
	return nil
}

// Text returns the text of the first choice.
func (a *Assembler) Text() string {
	if len(a.parts) == 0 {
		return ""
	}
	return a.parts[0].text.String()
}

// JSON returns the whole answer.
func (a *Assembler) JSON() ([]byte, error) {
	out := answer{ID: a.head.ID, Object: a.object(), Created: a.head.Created, Model: a.head.Model, Usage: a.usage}
	for i, p := range a.parts {
		out.Choices = append(out.Choices, a.choice(i, p))
	}
	body, err := json.Marshal(out)
	if err != nil {
		return nil, ErrChunk.Wrap(err, "answer")
	}
	return body, nil
}

func (a *Assembler) object() string {
	if a.Chat {
		return "chat.completion"
	}
	return "text_completion"
}

func (a *Assembler) choice(i int, p *part) choice {
	text := p.text.String()
	if !a.Chat {
		return choice{Index: i, Text: &text, FinishReason: p.finish}
	}
	m := &message{Role: p.role, Content: text, ToolCalls: p.calls}
	if m.Role == "" {
		m.Role = "assistant"
	}
	return choice{Index: i, Message: m, FinishReason: p.finish}
}

func (a *Assembler) part(i int) *part {
	for len(a.parts) <= i {
		a.parts = append(a.parts, &part{})
	}
	return a.parts[i]
}

func (p *part) add(c chunkChoice) {
	if c.Delta.Role != "" {
		p.role = c.Delta.Role
	}
	p.text.WriteString(c.Delta.Content)
	p.text.WriteString(c.Text)
	for _, call := range c.Delta.ToolCalls {
		p.addCall(call)
	}
	if c.FinishReason != nil {
		p.finish = *c.FinishReason
	}
}

func (p *part) addCall(call toolCall) {
	for i := range p.calls {
		if p.calls[i].Index == call.Index {
			p.calls[i].Function.Arguments += call.Function.Arguments
			return
		}
	}
	p.calls = append(p.calls, call)
}

// usageMark stands, unescaped, only in a chunk that has a usage object.
const usageMark = `"usage":{`

// UsageOf returns the usage that a chunk carries, if any.
func UsageOf(data string) (Usage, bool) {
	if !strings.Contains(data, usageMark) {
		return Usage{}, false
	}
	var c struct {
		Usage *Usage `json:"usage"`
	}
	if err := json.Unmarshal([]byte(data), &c); err != nil || c.Usage == nil {
		return Usage{}, false
	}
	return *c.Usage, true
}
