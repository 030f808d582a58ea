// Package socket tells what the kernel has received on a connection that nobody reads.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what the kernel knows of the receiving side of a connection.
type State int

const (
	// Quiet is a connection that is open and has nothing to read.
	Quiet State = iota
	// Readable is a connection with bytes that have not been read.
	Readable
	// Ended is a connection that the other side has closed or reset, or whose state is not known.
	Ended
)

// StateOf returns the state of a connection without reading from it. It does not wait, and read
// deadlines don't affect it. A connection without a socket of its own counts as Quiet.
func StateOf(c net.Conn) State {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return Ended
	}
	return state
}

// peek returns the state of a socket.
func peek(fd int) State {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN:
		return Quiet
	case err == nil && n > 0:
		return Readable
	}
	return Ended
}
