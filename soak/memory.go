package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"time"
)

const (
	// smallestMemoryMB is the memory of the smallest VMs of the users. The processes get as much in runs with floods.
	smallestMemoryMB = 134
	bytesPerMB       = 1 << 20
	// memoryReadInterval is the time between two readings of the peaks of processes, which are lost when these end.
	memoryReadInterval = 100 * time.Millisecond
)

// peakMemoryField names the line of /proc/PID/status with the peak of a process's resident memory, in KiB.
const peakMemoryField = "VmHWM:"

// peakMemory returns the largest resident memory that a process has had, in bytes; false if it can't be read.
func peakMemory(pid int) (int64, bool) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range bytes.Lines(status) {
		value, found := bytes.CutPrefix(line, []byte(peakMemoryField))
		if !found {
			continue
		}
		kib, err := strconv.ParseInt(string(bytes.TrimSpace(bytes.TrimSuffix(bytes.TrimSpace(value), []byte("kB")))), 10, 64)
		return kib << 10, err == nil
	}
	return 0, false
}

// readPeakMemory records the peak of the VM's process, if it runs.
func (v *VM) readPeakMemory() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return
	}
	if peak, ok := peakMemory(v.process.Process.Pid); ok {
		if v.peaks == nil {
			v.peaks = make(map[string]int64)
		}
		v.peaks[fmt.Sprintf("%s/%d", v.ID, v.incarnation)] = peak
	}
}

// watchMemory records the peaks of all processes until ctx ends.
func (b *testbed) watchMemory(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range b.vms {
			v.readPeakMemory()
		}
		sleep(ctx, memoryReadInterval)
	}
}

// checkMemory checks that no process had more resident memory than its VM has.
func (c *checker) checkMemory() {
	if c.report.Floods == nil {
		return
	}
	for _, v := range c.testbed.vms {
		v.readPeakMemory()
		if len(v.peaks) == 0 {
			c.addViolation("the memory of %s can't be read", v.ID)
		}
		for name, peak := range v.peaks {
			c.report.Floods.PeakBytes = max(c.report.Floods.PeakBytes, peak)
			if peak > smallestMemoryMB*bytesPerMB {
				c.addViolation("%s had %d MiB of resident memory, on a VM of %d MiB", name, peak/bytesPerMB, smallestMemoryMB)
			}
		}
	}
}
