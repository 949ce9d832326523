package queuer

import "time"

// SetLimit bounds the number of waiting items from now on. Items beyond a lower bound stay until they are popped or
// expire.
func (q *Queue) SetLimit(_ time.Time, items int) {
	q.limit = items
}
