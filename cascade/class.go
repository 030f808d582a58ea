package cascade

import "strconv"

// Class groups requests for which a weaker model is expected to suffice equally
// often. It consists of the caller's label and the number of a prompt length
// bucket, for example "plan/1".
type Class string

// MaxLabelBytes is the maximum length of a caller's class label, in bytes.
const MaxLabelBytes = 32

// Prompt length buckets. Bucket 0 holds prompts of up to smallestBucketTokens
// tokens; the limit of each further bucket is bucketRatio times the one before.
// Bucket maxBucket holds all longer prompts.
const (
	smallestBucketTokens = 256
	bucketRatio          = 4
	maxBucket            = 6
)

// ClassOf returns the class of a request from the caller's label, which may be
// empty, and the length of the prompt in tokens. A label that is longer than
// MaxLabelBytes or contains characters other than ASCII letters, digits, '-' and
// '_' is treated as empty.
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
	for limit := int64(smallestBucketTokens); tokens > limit && bucket < maxBucket; limit *= bucketRatio {
		bucket++
	}
	return bucket
}
