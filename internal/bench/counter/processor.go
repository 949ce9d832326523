// Package counter counts what experiments use of the machine.
package counter

import (
	"syscall"
	"time"
)

// Processor returns the processor time that this process has used, in user mode and in the kernel.
func Processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // The call fails only on wrong arguments.
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
