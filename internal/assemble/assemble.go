// Package assemble builds a complete answer from the JSON chunks of a streamed one, in
// the formats of common chat and text completion APIs.
//
// Add each chunk to an Assembler in order, then call Text or JSON.
package assemble

import (
	"encoding/json"
	"strings"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("assemble")

// ErrChunk is the type of errors for chunks that are not valid JSON of the expected
// format.
var ErrChunk = namespace.NewType("chunk")

// Usage is the number of tokens of a prompt and its answer.
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

type response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

type choiceBuilder struct {
	role         string
	text         strings.Builder
	toolCalls    []toolCall
	finishReason string
}

// Assembler collects the chunks of one answer. The zero value is ready for use, for a
// text completion. It is not safe for concurrent use.
type Assembler struct {
	// Chat selects the format of chat completions for JSON. By default that of text
	// completions is used.
	Chat bool

	firstChunk chunk
	builders   []*choiceBuilder
	usage      Usage
}

// maxChoices is the maximum number of choices of an answer. It limits the memory that a
// choice index of a chunk can allocate.
const maxChoices = 128

// Add adds the next chunk. It returns ErrChunk if the chunk is invalid.
func (a *Assembler) Add(data string) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return ErrChunk.Wrap(err, "decode chunk")
	}
	if a.firstChunk.ID == "" {
		a.firstChunk = chunk{ID: c.ID, Created: c.Created, Model: c.Model}
	}
	if c.Usage != nil {
		a.usage = *c.Usage
	}
	for _, ch := range c.Choices {
		if ch.Index < 0 || ch.Index >= maxChoices {
			return ErrChunk.New("choice index %d out of range", ch.Index)
		}
		a.builder(ch.Index).add(ch)
	}
	return nil
}

// Text returns the text of the first choice; empty if there is none.
func (a *Assembler) Text() string {
	if len(a.builders) == 0 {
		return ""
	}
	return a.builders[0].text.String()
}

// JSON returns the complete answer as a JSON document. It returns ErrChunk if it cannot
// be encoded.
func (a *Assembler) JSON() ([]byte, error) {
	resp := response{ID: a.firstChunk.ID, Object: a.object(), Created: a.firstChunk.Created,
		Model: a.firstChunk.Model, Usage: a.usage}
	for i, b := range a.builders {
		resp.Choices = append(resp.Choices, a.buildChoice(i, b))
	}
	body, err := json.Marshal(resp)
	if err != nil {
		return nil, ErrChunk.Wrap(err, "encode answer")
	}
	return body, nil
}

func (a *Assembler) object() string {
	if a.Chat {
		return "chat.completion"
	}
	return "text_completion"
}

func (a *Assembler) buildChoice(i int, b *choiceBuilder) choice {
	text := b.text.String()
	if !a.Chat {
		return choice{Index: i, Text: &text, FinishReason: b.finishReason}
	}
	m := &message{Role: b.role, Content: text, ToolCalls: b.toolCalls}
	if m.Role == "" {
		m.Role = "assistant"
	}
	return choice{Index: i, Message: m, FinishReason: b.finishReason}
}

func (a *Assembler) builder(i int) *choiceBuilder {
	for len(a.builders) <= i {
		a.builders = append(a.builders, &choiceBuilder{})
	}
	return a.builders[i]
}

func (b *choiceBuilder) add(c chunkChoice) {
	if c.Delta.Role != "" {
		b.role = c.Delta.Role
	}
	b.text.WriteString(c.Delta.Content)
	b.text.WriteString(c.Text)
	for _, call := range c.Delta.ToolCalls {
		b.addToolCall(call)
	}
	if c.FinishReason != nil {
		b.finishReason = *c.FinishReason
	}
}

func (b *choiceBuilder) addToolCall(call toolCall) {
	for i := range b.toolCalls {
		if b.toolCalls[i].Index == call.Index {
			b.toolCalls[i].Function.Arguments += call.Function.Arguments
			return
		}
	}
	b.toolCalls = append(b.toolCalls, call)
}

// usageMarker occurs in every chunk with a usage object. It allows other chunks to be
// skipped without decoding them; within a JSON string its quotes would be escaped.
const usageMarker = `"usage":{`

// ParseUsage returns the usage in a chunk, or false if it has none.
func ParseUsage(data string) (Usage, bool) {
	if !strings.Contains(data, usageMarker) {
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
