package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The first word of an answer tells its quality.
const (
	goodMark = "fine"
	poorMark = "flawed"
)

// Answer returns the text that a stand-in makes of tokens words for the prompt.
// A good and a poor answer differ in the first word only.
func Answer(model, version, prompt string, tokens int, good bool) string {
	a := answer{hash: answerHash(model, version, prompt), good: good}
	var text strings.Builder
	for i := range tokens {
		text.WriteString(a.word(i))
	}
	return text.String()
}

// IsAnswer reports whether text is a whole answer to the prompt, of the given
// version, of an engine with these bounds on its natural length. A maxTokens of
// 0 means that the request set no limit.
func IsAnswer(text, model, version, prompt string, minTokens, naturalMax, maxTokens int) bool {
	n := naturalLength(model, version, prompt, minTokens, naturalMax)
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return text == Answer(model, version, prompt, n, true) || text == Answer(model, version, prompt, n, false)
}

type answer struct {
	hash uint64
	good bool
}

func answerHash(model, version, prompt string) uint64 {
	return xxhash.Sum64String(model + "@" + version + "\x00" + prompt)
}

// word returns the i-th token of the answer, a word with its trailing space.
func (a answer) word(i int) string {
	if i == 0 && a.good {
		return goodMark + " "
	}
	if i == 0 {
		return poorMark + " "
	}
	return words[mix(a.hash+uint64(i))%uint64(len(words))]
}

func naturalLength(model, version, prompt string, shortest, longest int) int {
	spread := uint64(longest - shortest + 1)
	return shortest + int(mix(answerHash(model, version, prompt))%spread)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

var words = makeWords()

func makeWords() [4096]string {
	const consonants, vowels = "bdfgklmnprstvzjw", "aeiou"
	var made [4096]string
	for i := range made {
		a, b, c := i&15, i>>4&15, i>>8&15
		made[i] = string([]byte{consonants[a], vowels[c%5], consonants[b], vowels[(a+b)%5], consonants[c], ' '})
	}
	return made
}
