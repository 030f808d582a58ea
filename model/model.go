// Package model describes language models, their versions and cascades of models.
package model

import (
	"strings"

	"github.com/poplarshore/poplarshore/money"
)

// Name names a model or a cascade; callers use it in the "model" field.
type Name string

// VersionID names a version within its model.
type VersionID string

// Ref names one version of one model, written "model@version".
type Ref struct {
	Model   Name
	Version VersionID
}

// String returns "model@version".
func (r Ref) String() string {
	return string(r.Model) + "@" + string(r.Version)
}

// MarshalText implements encoding.TextMarshaler.
func (r Ref) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. Text without "@" leaves
// the version empty.
func (r *Ref) UnmarshalText(text []byte) error {
	name, version, _ := strings.Cut(string(text), "@")
	r.Model = Name(name)
	r.Version = VersionID(version)
	return nil
}

// Version is one version of a model.
type Version struct {
	ID VersionID `json:"id"`
	// PromptPrice is the price in micros of one million prompt tokens.
	PromptPrice money.PerMillion `json:"prompt_price"`
	// CompletionPrice is the price in micros of one million generated tokens.
	CompletionPrice money.PerMillion `json:"completion_price"`
	// Quality is the expected mean rating before any rating was seen, 0 to 1.
	Quality float64 `json:"quality"`
}

// Cost returns the price of one answer.
func (v Version) Cost(promptTokens, completionTokens int64) money.Micros {
	return v.PromptPrice.Cost(promptTokens) + v.CompletionPrice.Cost(completionTokens)
}

// Model is a model with its versions.
type Model struct {
	Name     Name      `json:"name"`
	Versions []Version `json:"versions"`
	// Current is the version that new work gets when no roll-out says otherwise.
	Current VersionID `json:"current"`
}

// Cascade tries models in order, from cheap to strong, until an answer's
// quality suffices.
type Cascade struct {
	Name  Name   `json:"name"`
	Steps []Name `json:"steps"`
}
