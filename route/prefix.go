package route

import "github.com/cespare/xxhash/v2"

const (
	// BlockBytes is the size of a prompt block, in bytes.
	BlockBytes = 1024
	// MaxBlocks is the largest number of leading blocks of a prompt that are hashed.
	MaxBlocks = 32
	// BytesPerToken is the estimated number of prompt bytes per token.
	BytesPerToken = 4
)

// AppendPrefixes appends one hash for each complete leading block of the prompt
// to dst, up to MaxBlocks. Each hash covers its block, all blocks before it and
// the salt. With the model version as the salt, equal hashes mean equal prefixes
// of prompts to the same version.
func AppendPrefixes(dst []uint64, salt string, prompt []byte) []uint64 {
	sum := xxhash.Sum64String(salt)
	for n := 0; n < MaxBlocks && len(prompt) >= BlockBytes; n++ {
		sum = mix(xxhash.Sum64(prompt[:BlockBytes]) ^ sum)
		prompt = prompt[BlockBytes:]
		dst = append(dst, sum)
	}
	return dst
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
