package claimer

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The latency and timeout of the simulated table service.
const (
	storeLatency = 3 * time.Millisecond
	storeTimeout = 500 * time.Millisecond
)

// store is the table service. transactionCount is the number of its transactions.
type store struct {
	rows             map[string]claimer.Row
	transactionCount int
	// ignoreConditions applies claims regardless of their condition. Only tests set it.
	ignoreConditions bool
	// dropBlockingRows discards blocking rows. Only tests set it.
	dropBlockingRows bool
}

// conflict is a mutation whose condition failed, and the current row.
type conflict struct {
	index int
	row   claimer.Row
}

// commitAll applies mutations as one transaction and returns the conflicts, if any.
func (s *store) commitAll(mutations []claimer.Mutation) []conflict {
	s.transactionCount++
	var conflicts []conflict
	for i, m := range mutations {
		if s.ignoreConditions && m.Record.State == claimer.StateDispatching {
			continue
		}
		if r := s.rows[m.Key]; r.Version != m.Version {
			conflicts = append(conflicts, conflict{index: i, row: r})
		}
	}
	if len(conflicts) > 0 {
		return conflicts
	}
	for _, m := range mutations {
		if s.dropBlockingRows && m.Record.State == claimer.StateReleased && m.Record.Code == claimer.CodeDeadlinePassed {
			continue
		}
		s.rows[m.Key] = claimer.Row{Version: s.rows[m.Key].Version + 1, Record: m.Record}
	}
	return nil
}

// commitOne applies one mutation in a transaction of its own.
func (s *store) commitOne(m claimer.Mutation) claimer.Commit {
	conflicts := s.commitAll([]claimer.Mutation{m})
	if len(conflicts) > 0 {
		return claimer.Commit{Outcome: classifier.Completed, Found: conflicts[0].row}
	}
	return claimer.Commit{Outcome: classifier.Completed, Applied: true, Version: s.rows[m.Key].Version}
}
