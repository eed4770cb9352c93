package guard

import (
	"errors"
	"expvar"
	"sync"
)

// ErrNoMemory is returned if callers make the process hold as much memory as they may. Nothing was
// reserved; it may succeed later.
var ErrNoMemory = errors.New("guard: callers hold as much memory as they may")

// ErrTooLarge is returned if a reservation would not even fit in an unused Budget.
var ErrTooLarge = errors.New("guard: more memory than callers may hold")

// ErrBodyTooLarge is returned if a body has more bytes than its limit.
var ErrBodyTooLarge = errors.New("guard: body exceeds the size limit")

// errReleased is returned by a Hold after Release.
var errReleased = errors.New("guard: the reservation was released")

// Kind tells what memory is held for.
type Kind uint8

// The kinds of memory.
const (
	Connections Kind = iota // connections, and bytes that they have received
	Requests                // headers, bodies, and jobs that are on their way to their owner
	Jobs                    // accepted jobs
	kinds
)

var kindNames = [kinds]string{Connections: "connections", Requests: "requests", Jobs: "jobs"}

// String returns the kind's name in metrics and logs.
func (k Kind) String() string { return kindNames[k] }

// Shares are the largest shares of a budget that each kind may use.
type Shares [kinds]float64

// DefaultShares are the shares of an entry VM that takes jobs.
var DefaultShares = Shares{Connections: 1. / 3, Requests: 1. / 3, Jobs: 1. / 2}

const (
	// SmallBytes is the size up to which a reservation counts as small. It fits the requests and
	// jobs of nearly all callers.
	SmallBytes = 64 << 10
	// largeShare is the share of each bound that larger reservations may use, so that a few of
	// them don't keep everyone else out.
	largeShare = 3. / 4
)

// Budget bounds the memory that callers make a process hold, in bytes. Its methods may be called
// concurrently. A nil Budget has no bound and counts nothing.
type Budget struct {
	shares Shares

	mu      sync.Mutex
	total   int64
	used    [kinds]int64
	refused [kinds]int64 // reservations
}

// NewBudget returns a budget of total bytes.
func NewBudget(total int64, shares Shares) *Budget { return &Budget{total: total, shares: shares} }

// SetTotal changes the total. What is held already stays.
func (b *Budget) SetTotal(total int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = total
}

// Reserve reserves n bytes, which Return gives back. It returns ErrNoMemory or ErrTooLarge if they are
// not to be had.
func (b *Budget) Reserve(k Kind, n int64) error {
	if b == nil {
		return nil
	}
	return b.reserve(k, 0, n)
}

// Charge counts n bytes that are held already, also beyond the bounds.
func (b *Budget) Charge(k Kind, n int64) {
	if b != nil {
		b.add(k, n)
	}
}

// Return gives n bytes back.
func (b *Budget) Return(k Kind, n int64) { b.Charge(k, -n) }

// reserve adds n bytes to a reservation that holds held bytes so far.
func (b *Budget) reserve(k Kind, held, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	err := b.checkLocked(k, held, n)
	if err != nil {
		b.refused[k]++
		return err
	}
	b.used[k] += n
	return nil
}

// Fits reports whether n more bytes are to be had for a user that holds held bytes.
func (b *Budget) Fits(k Kind, held, n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.checkLocked(k, held, n) == nil
}

// checkLocked returns nil if a reservation of held bytes can grow by n. Connections and small requests
// have their share in any case: callers must be able to end jobs that others have charged.
func (b *Budget) checkLocked(k Kind, held, n int64) error {
	share, small := 1., held+n <= SmallBytes
	if !small {
		share = largeShare
	}
	total, ofKind := int64(share*float64(b.total)), int64(share*b.shares[k]*float64(b.total))
	switch {
	case held+n > ofKind:
		return ErrTooLarge
	case b.used[k]+n > ofKind:
		return ErrNoMemory
	case (k == Jobs || !small) && b.sumLocked()+n > total:
		return ErrNoMemory
	}
	return nil
}

// add changes what the kind uses by n bytes, whatever the bounds.
func (b *Budget) add(k Kind, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[k] += n
}

func (b *Budget) sumLocked() (sum int64) {
	for _, n := range b.used {
		sum += n
	}
	return sum
}

// Used returns how many bytes of the kind are held.
func (b *Budget) Used(k Kind) int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[k]
}

// Metrics returns the budget's figures for expvar.
func (b *Budget) Metrics() expvar.Var {
	return expvar.Func(func() any {
		b.mu.Lock()
		defer b.mu.Unlock()
		used, refused := make(map[string]int64), make(map[string]int64)
		for k := range kinds {
			used[k.String()], refused[k.String()] = b.used[k], b.refused[k]
		}
		return map[string]any{"total_bytes": b.total, "used_bytes": used, "refused": refused}
	})
}

// Hold is a reservation of a Budget that can grow and shrink. Its methods may be called concurrently.
type Hold struct {
	budget *Budget
	kind   Kind
	// makeRoom gives memory of others back, for a small reservation; nil or false: there is none.
	makeRoom func() bool

	mu       sync.Mutex
	held     int64
	released bool
}

// NewHold returns an empty reservation.
func (b *Budget) NewHold(k Kind) *Hold { return &Hold{budget: b, kind: k} }

// Grow reserves n more bytes. It returns ErrNoMemory or ErrTooLarge if they are not to be had.
func (h *Hold) Grow(n int64) error {
	if h == nil || h.budget == nil {
		return nil
	}
	for {
		err := h.tryGrow(n)
		if !errors.Is(err, ErrNoMemory) || h.makeRoom == nil || h.size()+n > SmallBytes || !h.makeRoom() {
			return err
		}
	}
}

func (h *Hold) tryGrow(n int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return errReleased
	}
	if err := h.budget.reserve(h.kind, h.held, n); err != nil {
		return err
	}
	h.held += n
	return nil
}

// size returns how many bytes are reserved.
func (h *Hold) size() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held
}

// Set changes the reservation to n bytes. It can only fail if that is more than before; the
// reservation then stays as it was.
func (h *Hold) Set(n int64) error {
	if h == nil || h.budget == nil {
		return nil
	}
	held := h.size()
	if n > held {
		return h.Grow(n - held)
	}
	h.Shrink(held - n)
	return nil
}

// Shrink gives n bytes back.
func (h *Hold) Shrink(n int64) {
	if h == nil || h.budget == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	n = min(n, h.held)
	h.held -= n
	h.budget.add(h.kind, -n)
}

// Clear gives everything back; the reservation can grow again.
func (h *Hold) Clear() {
	if h == nil || h.budget == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.add(h.kind, -h.held)
	h.held = 0
}

// Release gives everything back for good: the reservation can't grow again.
func (h *Hold) Release() {
	if h == nil || h.budget == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
	h.budget.add(h.kind, -h.held)
	h.held = 0
}
