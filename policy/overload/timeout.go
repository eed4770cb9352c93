package overload

import "time"

const (
	// passes is how often a call waits for the processor: to be sent, to be read, to be
	// taken in.
	passes = 3
	// mostPatience bounds what is added to a time-out: a worker that is really silent is
	// to be known before its lease of several seconds has run out.
	mostPatience = 2 * time.Second
	// ownDoing is the wait from which a call without an answer says nothing of the other
	// side: it is half of what an answer may usually take.
	ownDoing = 150 * time.Millisecond
)

// ExtraTimeout is what a call gets beyond its usual time while what is ready waits so long.
func ExtraTimeout(behind time.Duration) time.Duration { return min(mostPatience, passes*behind) }

// AnswerMayBeUnread reports whether a call that was not answered in time may have been: the answer
// may lie here unread. A worker taken for silent then loses its work for nothing.
func AnswerMayBeUnread(behind time.Duration) bool { return behind >= ownDoing }
