package standin

// Runner is the program on a VM. The stand-in calls it when the VM is drained,
// stopped or started: one call at a time per VM, except for InFlight, and without
// Machines.mu held.
type Runner interface {
	// Drain makes it refuse new requests and finish those in flight.
	Drain()
	// Undrain makes it accept new requests again.
	Undrain()
	// InFlight returns the number of requests in progress.
	InFlight() int
	// Stop stops it immediately and returns the number of requests aborted.
	Stop() (cut int)
	// Start starts it again, accepting requests.
	Start()
}

// Hooks is a Runner that calls its functions. A nil function does nothing; a nil
// Requests means no requests in flight, and a nil OnStop aborts those in flight.
type Hooks struct {
	OnDrain   func()
	OnUndrain func()
	OnStop    func() (cut int)
	OnStart   func()
	Requests  func() int
}

// Drain implements Runner.
func (h Hooks) Drain() { callIfSet(h.OnDrain) }

// Undrain implements Runner.
func (h Hooks) Undrain() { callIfSet(h.OnUndrain) }

// Start implements Runner.
func (h Hooks) Start() { callIfSet(h.OnStart) }

// InFlight implements Runner.
func (h Hooks) InFlight() int {
	if h.Requests == nil {
		return 0
	}
	return h.Requests()
}

// Stop implements Runner.
func (h Hooks) Stop() int {
	if h.OnStop == nil {
		return h.InFlight()
	}
	return h.OnStop()
}

func callIfSet(f func()) {
	if f != nil {
		f()
	}
}
