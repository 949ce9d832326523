package decoder

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
)

// stopOdds is one more than the mean length of an answer, in tokens: one token in stopOdds ends it.
const stopOdds = 64

// words is the vocabulary of the answers. A token is an index into it.
var words = strings.Fields(`
	the a of to and in for with on at by from as or when after before under over until
	pattern drawing frame panel oak ash bogie axle spring latch till drawer bolt hinge rail
	plate screw joint glue plane chisel clamp gauge bracket roller motor sensor cable fuse
	check fit remove replace clean align loosen tighten measure cut sand oil test seal
	left right upper lower front rear inner outer first second third worn sound split dry
	firm loose bent new old small large wide narrow short long two four six eight`)

// tokenize splits a prompt into its tokens, one a word.
func tokenize(prompt string) []string {
	return strings.Fields(prompt)
}

// embed returns the input of the first layer for a word.
func embed(word string) uint64 {
	return xxhash.Sum64String(word)
}

// prefix returns the inputs of the first layer for a prompt and the tokens of the answer that follow it. It begins
// with a marker, so it is never empty.
func prefix(prompt string, delivered []int) []uint64 {
	inputs := []uint64{embed("")}
	for _, w := range tokenize(prompt) {
		inputs = append(inputs, embed(w))
	}
	for _, t := range delivered {
		inputs = append(inputs, embed(word(t)))
	}
	return inputs
}

// word returns the text of a token. Any integer is a token.
func word(token int) string {
	return words[uint(token)%uint(len(words))]
}

// spell returns the text that a token adds to the answer at a position.
func spell(position, token int) string {
	if position == 0 {
		return word(token)
	}
	return " " + word(token)
}

// salt tells the versions and adapters of models apart.
func salt(model, version, adapter string) uint64 {
	return xxhash.Sum64String(model + "\x00" + version + "\x00" + adapter)
}

// layer runs one layer for one position. State is the layer's state before the position; the new state and the input
// of the next layer are returned. The state folds in every position so far, so that a layer or position that is
// skipped, repeated or run in another order changes all that follows.
func layer(salt uint64, index int, state, input uint64) (uint64, uint64) {
	key := streamer.Mix(salt, uint64(index))
	next := streamer.Mix(streamer.Mix(state, key), input)
	return next, streamer.Mix(next, streamer.Mix(input, key))
}

// choose returns the token for the output of the last layer, and whether the answer ends in place of it.
func choose(output uint64) (int, bool) {
	return int(output % uint64(len(words))), (output>>32)%stopOdds == 0
}

// Answer returns the tokens and the text that engines give for a prompt when each of the layers runs once for each
// position, in order. Limit bounds the number of tokens.
func Answer(model, version, adapter, prompt string, layers, limit int) ([]int, string) {
	salt := salt(model, version, adapter)
	states := make([]uint64, layers)
	inputs := prefix(prompt, nil)
	var tokens []int
	var text strings.Builder
	for len(tokens) < limit {
		var output uint64
		for _, input := range inputs {
			output = input
			for l := range states {
				states[l], output = layer(salt, l, states[l], output)
			}
		}
		token, stop := choose(output)
		if stop {
			break
		}
		text.WriteString(spell(len(tokens), token))
		tokens = append(tokens, token)
		inputs = []uint64{embed(word(token))}
	}
	return tokens, text.String()
}
