package claimer

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The times of the stand-in for the table service.
const (
	storeLatency = 3 * time.Millisecond
	storeTimeout = 500 * time.Millisecond
)

// store is the table service. Writes counts its transactions.
type store struct {
	rows   map[string]claimer.Row
	writes int
	// loose lets claims through whatever their condition says. Only tests set it.
	loose bool
	// unblocked swallows blocking rows. Only tests set it.
	unblocked bool
}

// found is a conflict of one mutation.
type found struct {
	index int
	row   claimer.Row
}

// commit applies mutations as one transaction and returns the conflicts, if any.
func (s *store) commit(mutations []claimer.Mutation) []found {
	s.writes++
	var conflicts []found
	for i, m := range mutations {
		if s.loose && m.Record.State == claimer.StateDispatching {
			continue
		}
		if r := s.rows[m.Key]; r.Version != m.Version {
			conflicts = append(conflicts, found{index: i, row: r})
		}
	}
	if len(conflicts) > 0 {
		return conflicts
	}
	for _, m := range mutations {
		if s.unblocked && m.Record.State == claimer.StateReleased && m.Record.Code == claimer.CodeDeadlinePassed {
			continue
		}
		s.rows[m.Key] = claimer.Row{Version: s.rows[m.Key].Version + 1, Record: m.Record}
	}
	return nil
}

// commitOne applies one mutation in a transaction of its own.
func (s *store) commitOne(m claimer.Mutation) claimer.Commit {
	conflicts := s.commit([]claimer.Mutation{m})
	if len(conflicts) > 0 {
		return claimer.Commit{Outcome: classifier.Completed, Found: conflicts[0].row}
	}
	return claimer.Commit{Outcome: classifier.Completed, Applied: true, Version: s.rows[m.Key].Version}
}
