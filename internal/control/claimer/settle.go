package claimer

import (
	"encoding/json"
	"time"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// Settlement is an operator's statement of the outcome of a call.
type Settlement struct {
	// Outcome is completed or not-run.
	Outcome string `json:"outcome"`
	// Operator and Note say who settles the call and why.
	Operator string `json:"operator"`
	Note     string `json:"note,omitempty"`
	// Version is the version of the row that the operator read.
	Version int64 `json:"version"`
	// OwnerEnded is true if the operator has made sure that the owner has ended and can send nothing more.
	OwnerEnded bool `json:"gone,omitempty"`
}

// Settle returns the record that settles a row, or the reason why the row may not be settled.
func (s Settlement) Settle(now time.Time, r Row) (Record, string) {
	switch {
	case s.Operator == "":
		return Record{}, "the operator's name is missing"
	case s.Outcome != classifier.VerdictCompleted.String() && s.Outcome != classifier.VerdictNotRun.String():
		return Record{}, "the outcome is neither completed nor not-run"
	case r.Version == 0:
		return Record{}, "there is no such call"
	case r.Record.State == StateCompleted || r.Record.State == StateReleased:
		return Record{}, "the call's outcome is known: " + string(r.Record.State)
	case r.Version != s.Version:
		return Record{}, "the call has changed since it was seen"
	case r.Record.State == StateDispatching && !s.OwnerEnded:
		return Record{}, "the call's owner " + r.Record.Owner + " may still send it; make sure that it has ended"
	}
	record := r.Record
	record.SettledBy, record.Note, record.WrittenAtMillis = s.Operator, s.Note, now.UnixMilli()
	if s.Outcome == classifier.VerdictNotRun.String() {
		record.State, record.Code = StateReleased, CodeSettledByOperator
		return record, ""
	}
	record.State, record.Code = StateCompleted, ""
	record.Reply = &Reply{Status: 200, ContentType: "application/json", Body: settlementReply(s)}
	return record, ""
}

// settlementReply returns the body of the reply of a call that an operator has settled as completed.
func settlementReply(s Settlement) []byte {
	body, err := json.Marshal(map[string]string{"settled": s.Operator, "note": s.Note})
	if err != nil {
		panic("settlement cannot be encoded: " + err.Error())
	}
	return body
}

// Encode returns a record as JSON.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic("claim record cannot be encoded: " + err.Error())
	}
	return value
}

// The lowest and the highest status of a final response (RFC 9110, section 15).
const (
	minReplyStatus = 200
	maxReplyStatus = 599
)

// Decode returns a row from its version and its value in JSON. The error is that of decoding the value. A row of
// version 0 has no value. A reply that is no response proves nothing, so that the call's outcome is unknown.
func Decode(version int64, value []byte) (Row, error) {
	row := Row{Version: version}
	if version == 0 {
		return row, nil
	}
	if err := json.Unmarshal(value, &row.Record); err != nil {
		return row, err
	}
	if reply := row.Record.Reply; reply != nil && (reply.Status < minReplyStatus || reply.Status > maxReplyStatus) {
		row.Record.State, row.Record.Reply = StateUnknown, nil
	}
	return row, nil
}
