package spiller

import "time"

// The costs of a hop between two data centres.
const (
	// defaultDelay is the delay between two data centres that the configuration does not state.
	defaultDelay = 500 * time.Microsecond
	// localDelay is the delay between two endpoints of a data centre.
	localDelay = 200 * time.Microsecond
	// stayCost is the cost of leaving a data centre for a request that was not chosen to, about that of a whole answer: it leaves if
	// the own endpoints have no memory for it.
	stayCost = 3 * time.Second
	// hopCost is the cost of a hop between two stages in different data centres. The whole prompt holds a link there that all share,
	// so that a path that begins in the other data centre goes before.
	hopCost = 10 * time.Second
	// chosenCost is the cost of leaving for a request that was chosen to: if the own endpoints are no worse it stays.
	chosenCost = 300 * time.Millisecond
	// neededCost is the cost of a hop of either kind while paths need one, as the own endpoints lack a layer, or while nothing is
	// known of the data centres.
	neededCost = 300 * time.Millisecond
	// tolerableDelay is the delay of first events over a link at which half as much of it is used.
	tolerableDelay = 100 * time.Millisecond
	// textMB is what one token takes between an instance and the first stage, in MB: its text and its part of an event.
	textMB = 20e-6
)

// FirstEventWeight is how much more the time to the first event counts than the time after it: an answer whose first event is late
// counts as late as a whole.
const FirstEventWeight = 8

// Links describes the links between data centres.
type Links struct {
	// Delays holds the one-way delay by pair of data centres, in the order in which the configuration names them.
	Delays map[[2]string]time.Duration
	// MBPerSecond is the rate of each link.
	MBPerSecond float64
	// CostPerMB is the time of callers that one MB over a link is worth.
	CostPerMB time.Duration
}

// Delay returns the one-way delay between two data centres.
func (l Links) Delay(from, to string) time.Duration {
	if d, ok := l.Delays[[2]string{from, to}]; ok {
		return d
	}
	if d, ok := l.Delays[[2]string{to, from}]; ok {
		return d
	}
	return defaultDelay
}

// Crossing is a hop of one request between two data centres.
type Crossing struct {
	From, To string
	// IsFirst is true for the hop to the first stage, which carries only the request and the answer.
	IsFirst bool
	// IsChosen is true if the request may begin in the other data centre.
	IsChosen bool
	// PromptTokens cross at once, and AnswerTokens one by one. TokenMB is what one takes between two stages.
	PromptTokens, AnswerTokens int
	TokenMB                    float64
	// UsedShare is the share of the link that is reserved.
	UsedShare float64
}

// TextMB returns what a request sends between an instance and its first stage, in MB.
func TextMB(promptTokens, answerTokens int) float64 {
	return float64(promptTokens+answerTokens) * textMB
}

// MB returns what the request sends over the link.
func (c Crossing) MB() float64 {
	if c.IsFirst {
		return TextMB(c.PromptTokens, c.AnswerTokens)
	}
	return float64(c.PromptTokens+c.AnswerTokens) * c.TokenMB
}

// FirstHopCost returns the cost of a request that begins in another data centre: the way there and back, as late as events
// from there have been of late, and its bytes.
func (s *Spiller) FirstHopCost(now time.Time, from, to string, mb float64) time.Duration {
	late := 2*s.Links.Delay(from, to) + s.delays.excess(now, delayKey{from, to, true})
	return FirstEventWeight*late + time.Duration(mb*float64(s.Links.CostPerMB))
}

// CrossingCost returns the cost of a hop between two data centres, in the unit of the costs of paths.
func (s *Spiller) CrossingCost(now time.Time, c Crossing) time.Duration {
	if s.Cost != nil {
		return s.Cost(c)
	}
	if c.IsFirst {
		cost := s.FirstHopCost(now, c.From, c.To, c.MB())
		switch {
		case c.IsChosen:
			return cost + chosenCost
		case s.NeedsCrossing():
			return cost + neededCost + time.Duration(c.AnswerTokens)*s.Links.Delay(c.From, c.To)
		}
		return cost + stayCost
	}
	// Between two stages the whole prompt crosses before the first event, one request after another; then each token of the answer.
	first, perToken := s.Links.Times(c)
	first += s.delays.excess(now, delayKey{c.From, c.To, false})
	cost := hopCost
	if s.NeedsCrossing() {
		cost = neededCost
	}
	return cost + FirstEventWeight*first + time.Duration(c.AnswerTokens)*perToken + time.Duration(c.MB()*float64(s.Links.CostPerMB))
}

// NeedsCrossing reports whether paths may need to cross, or nothing is known of it.
func (s *Spiller) NeedsCrossing() bool {
	return s.RequestTime <= 0 || len(s.loads) == 0 || s.LacksCapacity()
}

// Slowdown returns by which factor less of a link may be used than its rate allows, as first events that crossed it came late.
func (s *Spiller) Slowdown(now time.Time, c Crossing) float64 {
	return 1 + float64(s.delays.excess(now, delayKey{c.From, c.To, false}))/float64(tolerableDelay)
}

// Times returns by how much a hop delays the first event, and each token after it.
func (l Links) Times(c Crossing) (first, perToken time.Duration) {
	delay := l.Delay(c.From, c.To)
	if c.IsFirst {
		return 2 * delay, 0
	}
	// Paths count localDelay for each hop.
	delay = max(0, delay-localDelay)
	if l.MBPerSecond <= 0 {
		return delay, delay
	}
	// The prompt holds the link for its transfer, and waits for those before it.
	prompt := float64(c.PromptTokens) * c.TokenMB / l.MBPerSecond / max(0.1, 1-c.UsedShare)
	token := c.TokenMB / l.MBPerSecond
	return delay + time.Duration(prompt*float64(time.Second)), delay + time.Duration(token*float64(time.Second))
}
