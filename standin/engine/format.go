package engine

import (
	"encoding/json"
	"strconv"
	"strings"
)

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	// TotalTokens is the sum of PromptTokens and CompletionTokens.
	TotalTokens int           `json:"total_tokens"`
	Details     PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails is the part of Usage about the prefix cache.
type PromptDetails struct {
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// responseMessage is the message of a chat completion.
type responseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// responseChoice is a choice with a Message (chat completion) or a Text (text completion).
type responseChoice struct {
	Index        int              `json:"index"`
	Message      *responseMessage `json:"message,omitempty"`
	Text         *string          `json:"text,omitempty"`
	FinishReason string           `json:"finish_reason"`
}

// completionResponse is the body of a response that is not streamed.
type completionResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   Usage            `json:"usage"`
}

func (s *stream) usage() Usage {
	return Usage{
		PromptTokens: s.promptTokens, CompletionTokens: s.totalTokens, TotalTokens: s.promptTokens + s.totalTokens,
		Details: PromptDetails{CachedTokens: s.cachedTokens},
	}
}

// finishReason returns "length" if the request's limit cut the answer short, else "stop".
func (s *stream) finishReason() string {
	if s.lengthLimited {
		return "length"
	}
	return "stop"
}

func (s *stream) model() string { return s.version.Model + "@" + s.version.Version }

// responseBody returns the JSON body of a response that is not streamed.
func (s *stream) responseBody() []byte {
	var text strings.Builder
	for i := range s.totalTokens {
		text.WriteString(s.answer.word(i))
	}
	content := text.String()
	choice := responseChoice{FinishReason: s.finishReason()}
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
		choice.Message = &responseMessage{Role: "assistant", Content: content}
	} else {
		choice.Text = &content
	}
	body, _ := json.Marshal(completionResponse{
		ID: s.attemptID, Object: object, Created: s.createdUnix, Model: s.model(),
		Choices: []responseChoice{choice}, Usage: s.usage(),
	})
	return body
}

// appendEvent appends the server-sent event of piece i to b and returns b. The piece after
// the last token contains the finish reason and the usage.
func (s *stream) appendEvent(b []byte, i int) []byte {
	b = append(b, "id: "...)
	b = append(b, s.attemptID...)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(i), 10)
	b = append(b, "\ndata: {\"id\":\""...)
	b = append(b, s.attemptID...)
	if s.chat {
		b = append(b, `","object":"chat.completion.chunk","created":`...)
	} else {
		b = append(b, `","object":"text_completion","created":`...)
	}
	b = strconv.AppendInt(b, s.createdUnix, 10)
	b = append(b, `,"model":"`...)
	b = append(b, s.model()...)
	b = append(b, `","choices":[{"index":0,`...)
	b = s.appendDelta(b, i)
	return append(b, "}\n\n"...)
}

// appendDelta appends the fields of the only choice that differ from piece to piece, and
// the usage to the last piece.
func (s *stream) appendDelta(b []byte, i int) []byte {
	word := ""
	if i < s.totalTokens {
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
	if i < s.totalTokens {
		return append(b, "null}]"...)
	}
	b = append(b, '"')
	b = append(b, s.finishReason()...)
	b = append(b, `"}],"usage":`...)
	usage, _ := json.Marshal(s.usage())
	return append(b, usage...)
}
