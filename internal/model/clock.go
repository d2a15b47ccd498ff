package model

import "golang.org/x/sys/unix"

// Now reads the boot-time clock of the machine, which continues while a process
// is stopped and while the machine is suspended. It panics if the clock cannot
// be read.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("model: the boot-time clock is not readable: " + err.Error())
	}
	return Instant(ts.Nano())
}
