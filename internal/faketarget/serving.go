package faketarget

// Serving reports whether the target is up and takes new work.
func (t *Target) Serving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.server != nil && !t.leaving
}
