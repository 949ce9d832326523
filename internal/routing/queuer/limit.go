package queuer

import "time"

// SetLimit sets the largest number of waiting items. If more items wait already, they stay until they are popped or
// expire.
func (q *Queue) SetLimit(_ time.Time, items int) {
	q.limit = items
}
