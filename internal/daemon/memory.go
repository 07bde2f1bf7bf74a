package daemon

import "runtime/debug"

// memoryLimitFraction is the Go runtime's soft limit as a fraction of the process's memory limit; the rest is for
// thread stacks and bytes that the system has received.
const memoryLimitFraction = 0.7

// LimitMemory sets the Go runtime's soft memory limit for a process limit in bytes; 0 means none.
func LimitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(bytes)))
	}
}
