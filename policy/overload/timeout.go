package overload

import "time"

const (
	// waitsPerCall is how often a call waits for the processor: to be sent, to be read and to
	// be processed.
	waitsPerCall = 3
	// maxExtraTimeout bounds what is added to a timeout: a worker that really is silent has to
	// be known before its lease of several seconds has expired.
	maxExtraTimeout = 2 * time.Second
	// unreadAnswerDelay is the scheduling delay from which an unanswered call tells nothing
	// about the other side: half of the time that an answer may usually take.
	unreadAnswerDelay = 150 * time.Millisecond
)

// ExtraTimeout returns what is added to the usual timeout of a call at a scheduling delay.
func ExtraTimeout(delay time.Duration) time.Duration { return min(maxExtraTimeout, waitsPerCall*delay) }

// AnswerMayBeUnread reports whether a call that timed out may have been answered: at this
// scheduling delay the answer may have arrived here unread. A worker that is taken for silent
// then would lose its work for no reason.
func AnswerMayBeUnread(delay time.Duration) bool { return delay >= unreadAnswerDelay }
