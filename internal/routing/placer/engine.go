// Package placer decides which endpoint holds which layers of a model.
//
// Requests use the memory that the layers leave free, so more copies of the model are not more capacity: a copy whose
// endpoints are full of layers serves few requests at a time. The layers are divided into blocks of equal size. A
// block is the most that the smallest card holds while it keeps memory for requests, and larger cards hold several
// blocks, so that endpoints are interchangeable block by block.
package placer

import (
	"math"
	"time"
)

// Range is a range of a model's layers, from From up to, not including, To.
type Range struct {
	From int
	To   int
}

// Len returns the number of layers.
func (r Range) Len() int { return max(0, r.To-r.From) }

// Empty reports whether the range holds no layer.
func (r Range) Empty() bool { return r.To <= r.From }

// Covers reports whether the range holds all layers of another one.
func (r Range) Covers(o Range) bool { return r.From <= o.From && o.To <= r.To }

// HasLayers reports whether all layers of a range belong to the model.
func (e *Engine) HasLayers(r Range) bool { return r.Empty() || r.From >= 0 && r.To <= e.Layers }

// Card is a kind of accelerator.
type Card struct {
	Name string
	// MemoryMB is the memory for layers and requests, in MB.
	MemoryMB float64
	// StepFactor multiplies the times of steps, and ReadFactor the times of reading prompts.
	StepFactor float64
	ReadFactor float64
}

// Engine describes a model and the times of its endpoints. Times are for the whole model on a card whose factors are
// 1.
type Engine struct {
	Model   string
	Layers  int
	LayerMB float64
	// TokenMB is the memory of one token over all layers.
	TokenMB float64
	// MaxTokens bounds the tokens that one endpoint holds, whatever its memory; zero means no bound.
	MaxTokens int
	// MaxRequests bounds the requests at one endpoint.
	MaxRequests int
	// TokensPerEvent is the number of tokens of one event.
	TokensPerEvent int
	// BaseStepTime, RequestStepTime and ContextStepTime add up to the time of one token: a constant part, a part for
	// each request that is generating, and a part for each 1,000 tokens of those requests' context.
	BaseStepTime    time.Duration
	RequestStepTime time.Duration
	ContextStepTime time.Duration
	// ReadRate is the rate at which prompts are read, in tokens a second.
	ReadRate float64
	// LoadTime is the time to load all layers, and MaxParallelLoads the number of loads that run at full speed side
	// by side.
	LoadTime         time.Duration
	MaxParallelLoads int
	// ActivationMB is what crosses between two stages for each token, in MB, and LinkMBPerSecond the capacity of the
	// link between data centres.
	ActivationMB    float64
	LinkMBPerSecond float64
	// CentreDelays holds the one-way delay between two data centres, if it is known.
	CentreDelays map[[2]string]time.Duration
	// UsualPromptTokens and UsualAnswerTokens are the usual numbers of tokens of a request.
	UsualPromptTokens int
	UsualAnswerTokens int
	Cards             map[string]Card
}

// TokenCapacity returns how many tokens of requests an endpoint has memory for beside a number of layers.
func (e *Engine) TokenCapacity(c Card, layers int) int {
	if layers <= 0 {
		return 0
	}
	free := c.MemoryMB - float64(layers)*e.LayerMB
	if free <= 0 {
		return 0
	}
	tokens := free / (e.TokenMB * float64(layers) / float64(e.Layers))
	if e.MaxTokens > 0 {
		tokens = math.Min(tokens, float64(e.MaxTokens))
	}
	return int(tokens)
}

// MaxLayers returns the most layers that a card holds while it keeps memory for a number of tokens.
func (e *Engine) MaxLayers(c Card, tokens float64) int {
	return min(e.Layers, int(c.MemoryMB/(e.LayerMB+tokens*e.TokenMB/float64(e.Layers))))
}

// LayerShare returns the share of the model's layers that a range holds.
func (e *Engine) LayerShare(r Range) float64 {
	return float64(r.Len()) / float64(e.Layers)
}
