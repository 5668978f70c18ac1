package endpoints

import (
	"fmt"
	"time"
)

// saveTimeout bounds the wait for the disk, the saves before included.
const saveTimeout = 2 * time.Second

// savePending writes the pending requests to disk, and returns ErrNotOnDisk if that fails or takes too long. Each save
// writes the list as it is when the save begins, and one begins after the other has ended, so that the last one has all
// requests. The caller must not hold the mutex.
func (r *Registry) savePending() error {
	timer := time.NewTimer(saveTimeout)
	defer timer.Stop()
	select {
	case r.saving <- struct{}{}:
	case <-timer.C:
		return fmt.Errorf("%w: another write takes longer than %s", ErrNotOnDisk, saveTimeout)
	}
	done := make(chan error, 1) // buffered, so that the goroutine ends even if nothing receives
	go func() {
		defer func() { <-r.saving }()
		done <- r.writePending()
	}()
	select {
	case err := <-done:
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNotOnDisk, err)
		}
		return nil
	case <-timer.C:
		return fmt.Errorf("%w within %s", ErrNotOnDisk, saveTimeout)
	}
}

// writePending writes the pending requests to disk. One call runs at a time.
func (r *Registry) writePending() error {
	r.mu.Lock()
	log, changes, pending := r.log, r.pendingChanges, r.pending.List()
	r.mu.Unlock()
	if err := log.SavePending(pending); err != nil {
		r.cfg.Counters.Add("restrictions_not_saved", 1)
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.savedChanges = max(r.savedChanges, changes)
	return nil
}

// saved reports whether all requests that became pending are on disk.
func (r *Registry) saved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.savedChanges == r.pendingChanges
}
