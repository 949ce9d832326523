package streamer

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of prompt tokens in a block of an engine's prefix cache. Engines split prompts into tokens
// at white space.
const BlockTokens = 16

// PrefixHashes returns the hash of each prefix of a prompt that ends at a block boundary, the shortest first, as in the
// engines' cache events. Model, version and adapter are part of the hash.
func PrefixHashes(model, version, adapter, prompt string) []uint64 {
	hash := xxhash.Sum64String(model + "\x00" + version + "\x00" + adapter)
	var prefixes []uint64
	for i, word := range strings.Fields(prompt) {
		hash = MixHashes(hash, xxhash.Sum64String(word))
		if (i+1)%BlockTokens == 0 {
			prefixes = append(prefixes, hash)
		}
	}
	return prefixes
}

// MixHashes mixes b into the hash a. Its constants are those of the finalizer of SplitMix64 (Steele, Lea, Flood:
// Fast Splittable Pseudorandom Number Generators, 2014).
func MixHashes(a, b uint64) uint64 {
	z := a*0x9e3779b97f4a7c15 + b + 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
