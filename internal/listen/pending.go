package listen

import (
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// acceptPending accepts a connection that waits already, also after the listener's deadline. If none
// waits, it makes the kernel refuse connections at once, and returns nil: a connection that is
// established before the listener is closed, but was not accepted, would be reset with its request.
func acceptPending(l net.Listener) net.Conn {
	source, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return nil
	}
	fd, accepted := -1, false
	err = raw.Control(func(listener uintptr) { fd, accepted = acceptOrRefuse(listener) })
	if err != nil || !accepted {
		return nil
	}
	file := os.NewFile(uintptr(fd), "accepted connection")
	defer func() { _ = file.Close() }()
	c, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return c
}

// acceptOrRefuse accepts a connection on a listening socket, or else makes the socket refuse
// connections. The system calls don't wait, and bypass the Go scheduler: a pause between them would let
// connections arrive.
func acceptOrRefuse(listener uintptr) (fd int, accepted bool) {
	for {
		n, _, errno := unix.RawSyscall6(unix.SYS_ACCEPT4, listener, 0, 0, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0, 0)
		switch errno {
		case 0:
			return int(n), true
		case unix.EINTR, unix.ECONNABORTED:
			continue
		}
		_, _, _ = unix.RawSyscall(unix.SYS_SHUTDOWN, listener, unix.SHUT_RD, 0)
		return -1, false
	}
}
