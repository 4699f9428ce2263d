package admission

// FullError reports that the queue has no room for an entry.
type FullError struct {
	Requests, Tokens int  // queued in all
	Customer         bool // the customer's part of the queue is full, not the whole queue
}

// Error implements error.
func (e *FullError) Error() string {
	if e.Customer {
		return "admission: the customer's part of the queue is full"
	}
	return "admission: queue full"
}

// ExpiredError reports that an entry can no longer meet its deadline.
type ExpiredError struct{}

// Error implements error.
func (ExpiredError) Error() string { return "admission: too late to meet the deadline" }

// DuplicateError reports that an entry with the same ID is already queued.
type DuplicateError struct{ ID string }

// Error implements error.
func (e *DuplicateError) Error() string { return "admission: " + e.ID + " is already queued" }
