// Package counter measures the processor time and the network traffic of experiments.
package counter

import (
	"syscall"
	"time"
)

// ProcessorTime returns the processor time that this process has used, in user mode and in the kernel.
func ProcessorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // Getrusage fails only on invalid arguments.
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
