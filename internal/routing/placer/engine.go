// Package placer decides which endpoint holds which layers of a model.
//
// Memory that the layers leave free holds requests, so more copies of the model are not more capacity: a copy whose
// endpoints are full of layers serves few requests at a time. The layers are cut into blocks of equal size. The block is
// the most that the smallest card holds while it keeps room for requests, and larger cards hold several blocks, so that
// endpoints are interchangeable block by block.
package placer

import (
	"math"
	"time"
)

// Range is a part of a model's layers: From up to, not including, To.
type Range struct {
	From int
	To   int
}

// Len returns the number of layers.
func (r Range) Len() int { return max(0, r.To-r.From) }

// Empty reports whether the range holds no layer.
func (r Range) Empty() bool { return r.To <= r.From }

// Covers reports whether all layers of another range are in this one.
func (r Range) Covers(o Range) bool { return r.From <= o.From && o.To <= r.To }

// Card is a kind of accelerator.
type Card struct {
	Name string
	// MemoryMB holds layers and requests, in MB.
	MemoryMB float64
	// Pace multiplies the times of steps, and Read that of reading prompts.
	Pace float64
	Read float64
}

// Engine describes a model and the times of its endpoints. Times are for the whole model on a card of pace 1.
type Engine struct {
	Model   string
	Layers  int
	LayerMB float64
	// TokenMB is the memory of one token over all layers.
	TokenMB float64
	// Tokens bounds the tokens that one endpoint holds, whatever its memory.
	Tokens int
	// Slots bounds the requests at one endpoint.
	Slots int
	// Stride is the number of tokens of one event.
	Stride int
	// Step, Sequence and Context are the times of a token: for itself, for each request that writes, and for each
	// 1,000 tokens of those requests' context.
	Step     time.Duration
	Sequence time.Duration
	Context  time.Duration
	// ReadRate is in prompt tokens a second.
	ReadRate float64
	// Load is the time to load all layers, and Loads how many loads run at full speed side by side.
	Load  time.Duration
	Loads int
	// ActivationMB crosses between two stages for each token, PipeMB is what the link between data centres carries
	// a second.
	ActivationMB float64
	PipeMB       float64
	// Prompt and Answer are the usual numbers of tokens of a request.
	Prompt int
	Answer int
	Cards  map[string]Card
}

// Room returns how many tokens of requests an endpoint holds beside a number of layers.
func (e *Engine) Room(c Card, layers int) int {
	if layers <= 0 {
		return 0
	}
	free := c.MemoryMB - float64(layers)*e.LayerMB
	if free <= 0 {
		return 0
	}
	room := free / (e.TokenMB * float64(layers) / float64(e.Layers))
	if e.Tokens > 0 {
		room = math.Min(room, float64(e.Tokens))
	}
	return int(room)
}

// Fit returns the most layers that a card holds with room for a number of tokens.
func (e *Engine) Fit(c Card, tokens float64) int {
	return min(e.Layers, int(c.MemoryMB/(e.LayerMB+tokens*e.TokenMB/float64(e.Layers))))
}

// Share returns the part of the model that a range is.
func (e *Engine) Share(r Range) float64 {
	return float64(r.Len()) / float64(e.Layers)
}
