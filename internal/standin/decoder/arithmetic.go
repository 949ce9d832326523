package decoder

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
)

// stopOdds sets how often an answer ends: one chosen token in stopOdds is a stop token, so the mean length of an answer
// is stopOdds-1 tokens.
const stopOdds = 64

// vocabulary holds the words of the answers. A token is an index into it.
var vocabulary = strings.Fields(`
	the a of to and in for with on at by from as or when after before under over until
	pattern drawing frame panel oak ash bogie axle spring latch till drawer bolt hinge rail
	plate screw joint glue plane chisel clamp gauge bracket roller motor sensor cable fuse
	check fit remove replace clean align loosen tighten measure cut sand oil test seal
	left right upper lower front rear inner outer first second third worn sound split dry
	firm loose bent new old small large wide narrow short long two four six eight`)

// tokenize splits a prompt into its tokens, one per word.
func tokenize(prompt string) []string {
	return strings.Fields(prompt)
}

// embed returns the input of the first layer for a word.
func embed(word string) uint64 {
	return xxhash.Sum64String(word)
}

// prefixInputs returns the inputs of the first layer for a prompt and the answer tokens already delivered after it. The
// first input is a start marker, so the result is never empty.
func prefixInputs(prompt string, delivered []int) []uint64 {
	inputs := []uint64{embed("")}
	for _, w := range tokenize(prompt) {
		inputs = append(inputs, embed(w))
	}
	for _, t := range delivered {
		inputs = append(inputs, embed(tokenWord(t)))
	}
	return inputs
}

// tokenWord returns the text of a token. Any integer is a token.
func tokenWord(token int) string {
	return vocabulary[uint(token)%uint(len(vocabulary))]
}

// tokenText returns the text that a token adds to the answer at a position, with a leading space except at position 0.
func tokenText(position, token int) string {
	if position == 0 {
		return tokenWord(token)
	}
	return " " + tokenWord(token)
}

// modelSalt returns a hash that differs between models, versions and adapters, so that each gives different answers.
func modelSalt(model, version, adapter string) uint64 {
	return xxhash.Sum64String(model + "\x00" + version + "\x00" + adapter)
}

// runLayer runs one layer for one position. State is the layer's state before the position. It returns the new state
// and the input of the next layer. The state is a hash over every position so far, so a layer or position that is
// skipped, repeated or run out of order changes all later output.
func runLayer(salt uint64, index int, state, input uint64) (uint64, uint64) {
	key := streamer.MixHashes(salt, uint64(index))
	next := streamer.MixHashes(streamer.MixHashes(state, key), input)
	return next, streamer.MixHashes(next, streamer.MixHashes(input, key))
}

// chooseToken returns the token for the output of the last layer, or true if the answer ends instead.
func chooseToken(output uint64) (int, bool) {
	return int(output % uint64(len(vocabulary))), (output>>32)%stopOdds == 0
}

// ExpectedAnswer returns the tokens and the text that engines produce for a prompt if every layer runs exactly once per
// position, in order. Limit is the maximum number of tokens.
func ExpectedAnswer(model, version, adapter, prompt string, layers, limit int) ([]int, string) {
	salt := modelSalt(model, version, adapter)
	states := make([]uint64, layers)
	inputs := prefixInputs(prompt, nil)
	var tokens []int
	var text strings.Builder
	for len(tokens) < limit {
		var output uint64
		for _, input := range inputs {
			output = input
			for l := range states {
				states[l], output = runLayer(salt, l, states[l], output)
			}
		}
		token, stop := chooseToken(output)
		if stop {
			break
		}
		text.WriteString(tokenText(len(tokens), token))
		tokens = append(tokens, token)
		inputs = []uint64{embed(tokenWord(token))}
	}
	return tokens, text.String()
}
