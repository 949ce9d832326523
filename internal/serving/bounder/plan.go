package bounder

import (
	"os"
	"runtime/debug"
)

// Machine is what an instance may use. Zero means that it is not known.
type Machine struct {
	MemoryBytes int64
	Descriptors int
}

// The parts of a machine that connections may use.
const (
	// defaultMemoryBytes and defaultDescriptors stand for what is not known.
	defaultMemoryBytes = 1 << 30
	defaultDescriptors = 16384
	// headShare is the part of the memory for heads: one in headShare bytes. A head of MaxHeadBytes fits into minHeadBudget.
	headShare     = 16
	minHeadBudget = 6 << 20
	// memoryPerConnection is the memory of the machine for each connection: about 25 KB for the server's buffers and stacks, freeCost,
	// and as much again for garbage, of half of the memory.
	memoryPerConnection = 160 << 10
	// callersShare and internalShare are the parts of the descriptors, in hundredths, for callers, each of whom may need another one for
	// an endpoint, and for each of the internal listeners.
	callersShare  = 40
	internalShare = 4
	minInternal   = 16
	// peersShare is the part for the connections of other instances, of which there is one from each that sends something.
	peersShare = 25
	minPeers   = 64
	maxPeers   = 1024
	// messageShare is the part of the memory for messages of other instances.
	messageShare    = 16
	maxMessageBytes = 32 << 20
	// heapShare is the part of the memory, in hundredths, above which the garbage collector works harder.
	heapShare = 65
)

// Plan is how a machine is divided.
type Plan struct {
	// HeadBytes is the limit of the Budget for heads.
	HeadBytes int64
	// Callers bounds the connections of callers, and Internal those of each other listener.
	Callers, Internal int
	// Peers bounds the connections of other instances, and MessageBytes the messages that arrive on them at a time.
	Peers        int
	MessageBytes int64
	// HeapBytes is the limit of the garbage collector; 0 if the memory is not known.
	HeapBytes int64
}

// NewPlan returns the plan for a machine.
func NewPlan(m Machine) Plan {
	heapBytes := m.MemoryBytes / 100 * heapShare
	if m.MemoryBytes <= 0 {
		m.MemoryBytes, heapBytes = defaultMemoryBytes, 0
	}
	if m.Descriptors <= 0 {
		m.Descriptors = defaultDescriptors
	}
	return Plan{
		HeadBytes:    max(minHeadBudget, m.MemoryBytes/headShare),
		Callers:      max(1, min(m.Descriptors*callersShare/100, int(m.MemoryBytes/memoryPerConnection))),
		Internal:     max(minInternal, m.Descriptors*internalShare/100),
		Peers:        min(maxPeers, max(minPeers, m.Descriptors*peersShare/100)),
		MessageBytes: min(maxMessageBytes, m.MemoryBytes/messageShare),
		HeapBytes:    heapBytes,
	}
}

// LimitHeap sets the soft limit of the garbage collector, unless the environment sets one or the memory is not known. The bounds on what is held do not rest on
// it: it only makes garbage go sooner when there is much.
func (p Plan) LimitHeap() {
	if p.HeapBytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(p.HeapBytes)
	}
}
