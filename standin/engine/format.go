package engine

import (
	"encoding/json"
	"strconv"
	"strings"
)

// Usage is the token count of an answer.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails tells how much of a prompt was cached.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Message      *wholeMessage `json:"message,omitempty"`
	Text         *string       `json:"text,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   Usage         `json:"usage"`
}

func (s *stream) usage() Usage {
	return Usage{
		PromptTokens: s.prompt, CompletionTokens: s.total, TotalTokens: s.prompt + s.total,
		Details: PromptDetails{CachedTokens: s.cached},
	}
}

func (s *stream) finishReason() string {
	if s.limited {
		return "length"
	}
	return "stop"
}

func (s *stream) model() string { return s.ref.Model + "@" + s.ref.Version }

// whole returns the body of an answer that is not streamed.
func (s *stream) whole() []byte {
	var text strings.Builder
	for i := range s.total {
		text.WriteString(s.answer.word(i))
	}
	content := text.String()
	choice := wholeChoice{FinishReason: s.finishReason()}
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
		choice.Message = &wholeMessage{Role: "assistant", Content: content}
	} else {
		choice.Text = &content
	}
	body, _ := json.Marshal(wholeAnswer{
		ID: s.attempt, Object: object, Created: s.created, Model: s.model(),
		Choices: []wholeChoice{choice}, Usage: s.usage(),
	})
	return body
}

// appendEvent appends the server-sent event of piece i. The piece after the
// last token carries the finish reason and the usage.
func (s *stream) appendEvent(b []byte, i int) []byte {
	b = append(b, "id: "...)
	b = append(b, s.attempt...)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(i), 10)
	b = append(b, "\ndata: {\"id\":\""...)
	b = append(b, s.attempt...)
	if s.chat {
		b = append(b, `","object":"chat.completion.chunk","created":`...)
	} else {
		b = append(b, `","object":"text_completion","created":`...)
	}
	b = strconv.AppendInt(b, s.created, 10)
	b = append(b, `,"model":"`...)
	b = append(b, s.model()...)
	b = append(b, `","choices":[{"index":0,`...)
	b = s.appendDelta(b, i)
	return append(b, "}\n\n"...)
}

func (s *stream) appendDelta(b []byte, i int) []byte {
	word := ""
	if i < s.total {
		word = s.answer.word(i)
	}
	if s.chat {
		b = append(b, `"delta":{"content":"`...)
		b = append(b, word...)
		b = append(b, `"},"finish_reason":`...)
	} else {
		b = append(b, `"text":"`...)
		b = append(b, word...)
		b = append(b, `","finish_reason":`...)
	}
	if i < s.total {
		return append(b, "null}]"...)
	}
	b = append(b, '"')
	b = append(b, s.finishReason()...)
	b = append(b, `"}],"usage":`...)
	usage, _ := json.Marshal(s.usage())
	return append(b, usage...)
}
