package fairqueue

import (
	"runtime"
	"syscall"
	"time"
)

// processorClock returns the processor time that the calling thread has used so far. The time on the wall would charge a
// connection for what ran in the middle of its turn: other processes on the same core, and other goroutines.
type processorClock func() time.Duration

// threadRusage is RUSAGE_THREAD of getrusage(2), which package syscall does not name.
const threadRusage = 1

// threadTime is the processorClock of the system.
func threadTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(threadRusage, &usage); err != nil {
		return 0 // turns then cost their overhead alone
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure calls work and returns the processor time that it took.
func (c processorClock) measure(work func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := c()
	work()
	return max(0, c()-began)
}
