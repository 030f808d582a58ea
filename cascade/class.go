package cascade

import "strconv"

// Class groups requests that are alike in how often a weaker model suffices.
type Class string

// MaxLabelBytes bounds the class label that a caller gives.
const MaxLabelBytes = 32

const (
	smallestBucketTokens = 256
	bucketRatio          = 4
	largestBucket        = 6
)

// ClassOf returns the class of a request from the caller's label, which may be
// empty, and the length of the prompt in tokens. Labels that are too long or
// hold other characters than letters, digits, '-' and '_' count as empty.
func ClassOf(label string, promptTokens int64) Class {
	if !validLabel(label) {
		label = ""
	}
	return Class(label + "/" + strconv.Itoa(lengthBucket(promptTokens)))
}

func validLabel(label string) bool {
	if len(label) > MaxLabelBytes {
		return false
	}
	for _, c := range []byte(label) {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

func lengthBucket(tokens int64) int {
	bucket := 0
	for limit := int64(smallestBucketTokens); tokens > limit && bucket < largestBucket; limit *= bucketRatio {
		bucket++
	}
	return bucket
}
