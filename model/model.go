// Package model describes language models, their versions and cascades of models.
package model

import (
	"strings"

	"github.com/poplarshore/poplarshore/money"
)

// Name is the name of a model or cascade, as callers give it in the "model" field
// of a request.
type Name string

// VersionID identifies a version within its model.
type VersionID string

// Ref identifies one version of one model. Its text form is "model@version".
type Ref struct {
	Model   Name
	Version VersionID
}

// String returns "model@version".
func (r Ref) String() string {
	return string(r.Model) + "@" + string(r.Version)
}

// MarshalText implements encoding.TextMarshaler; the text is that of String.
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
	// PromptPrice is the price of one million prompt tokens, in micros.
	PromptPrice money.PerMillion `json:"prompt_price"`
	// CompletionPrice is the price of one million generated tokens, in micros.
	CompletionPrice money.PerMillion `json:"completion_price"`
	// Quality is the mean rating, 0 to 1, that is assumed before there are any
	// ratings.
	Quality float64 `json:"quality"`
}

// Cost returns the price, in micros, of one answer with the given numbers of
// tokens.
func (v Version) Cost(promptTokens, completionTokens int64) money.Micros {
	return v.PromptPrice.Cost(promptTokens) + v.CompletionPrice.Cost(completionTokens)
}

// Model is a model and its versions.
type Model struct {
	Name     Name      `json:"name"`
	Versions []Version `json:"versions"`
	// Current is the version for new requests unless a roll-out selects another.
	Current VersionID `json:"current"`
}

// Cascade is a sequence of models that are tried in order until the quality of an
// answer is sufficient.
type Cascade struct {
	Name Name `json:"name"`
	// Steps lists the models from the cheapest to the strongest.
	Steps []Name `json:"steps"`
}
