package gateway

import "time"

// handleRestore makes the fleet write again what the store may have lost as it came back from a copy: each instance writes its own
// row, the holder of a duty that of the duty, and the live instance with the lowest id the evidence, which all instances know.
func (g *Gateway) handleRestore(now time.Time) {
	g.instances.handleRestore()
	for _, d := range g.allDirectors() {
		d.HandleRestore()
	}
	for _, p := range g.peersOfRegion() {
		if p.ID < g.settings.ID {
			return
		}
	}
	if evidence := g.forwarder.Evidence(now); len(evidence) > 0 {
		g.evidence.Keep(evidence)
		g.log.Info("evidence written again", "rows", len(evidence))
	}
}

// runInstances keeps this instance listed until done is closed.
func (g *Gateway) runInstances() {
	defer g.wait.Done()
	g.instances.run(g.done)
}
