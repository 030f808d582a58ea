package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The first word of an answer shows its quality. The stand-in of the rating service
// looks for the word of a poor answer.
const (
	goodFirstWord = "fine"
	poorFirstWord = "flawed"
)

// Answer returns the text that the given version of a model generates for a prompt. It
// has tokens words, each followed by a space. A good and a poor answer differ in the
// first word only.
func Answer(model, version, prompt string, tokens int, good bool) string {
	a := answer{hash: answerHash(model, version, prompt), good: good}
	var text strings.Builder
	for i := range tokens {
		text.WriteString(a.word(i))
	}
	return text.String()
}

// IsAnswer reports whether text is a complete answer, good or poor, of the given version
// to the prompt. minLength and maxLength are the engine's Options.MinTokens and
// Options.MaxTokens. tokenLimit is the limit that the request set, in tokens; 0 means no
// limit.
func IsAnswer(text, model, version, prompt string, minLength, maxLength, tokenLimit int) bool {
	n := naturalLength(model, version, prompt, minLength, maxLength)
	if tokenLimit > 0 {
		n = min(n, tokenLimit)
	}
	return text == Answer(model, version, prompt, n, true) || text == Answer(model, version, prompt, n, false)
}

// answer generates the words of one answer.
type answer struct {
	hash uint64
	good bool
}

// answerHash returns the hash that determines an answer's words, length and quality.
func answerHash(model, version, prompt string) uint64 {
	return xxhash.Sum64String(model + "@" + version + "\x00" + prompt)
}

// word returns token i of the answer: a word with a trailing space.
func (a answer) word(i int) string {
	if i == 0 && a.good {
		return goodFirstWord + " "
	}
	if i == 0 {
		return poorFirstWord + " "
	}
	return vocabulary[splitMix64(a.hash+uint64(i))%uint64(len(vocabulary))]
}

// naturalLength returns the number of tokens of an answer that no request limit cuts
// short. It lies between minLength and maxLength, inclusive.
func naturalLength(model, version, prompt string, minLength, maxLength int) int {
	lengthCount := uint64(maxLength - minLength + 1)
	return minLength + int(splitMix64(answerHash(model, version, prompt))%lengthCount)
}

// splitMix64 returns the output of the SplitMix64 generator for the state x.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// vocabulary holds the words of answers after the first.
var vocabulary = makeVocabulary()

// makeVocabulary returns distinct pronounceable words of five letters, each with a
// trailing space.
func makeVocabulary() [4096]string {
	const consonants, vowels = "bdfgklmnprstvzjw", "aeiou"
	var list [4096]string
	for i := range list {
		a, b, c := i&15, i>>4&15, i>>8&15
		list[i] = string([]byte{consonants[a], vowels[c%5], consonants[b], vowels[(a+b)%5], consonants[c], ' '})
	}
	return list
}
