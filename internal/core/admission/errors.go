package admission

// FullError says that the queue has no room for an entry.
type FullError struct {
	Requests, Tokens int  // queued
	Customer         bool // the customer's own part is used up
}

// Error implements error.
func (e *FullError) Error() string {
	if e.Customer {
		return "admission: the customer's part of the queue is used up"
	}
	return "admission: queue full"
}

// ExpiredError says that an entry can no longer meet its deadline.
type ExpiredError struct{}

// Error implements error.
func (ExpiredError) Error() string { return "admission: too late to meet the deadline" }

// DuplicateError says that an entry of the same ID is queued.
type DuplicateError struct{ ID string }

// Error implements error.
func (e *DuplicateError) Error() string { return "admission: " + e.ID + " is queued already" }
