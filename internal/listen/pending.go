package listen

import (
	"errors"
	"math"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Offset and bits of the flags in a TCP header.
const (
	tcpFlagsOffset = 13
	tcpSYN         = 0x02
	tcpACK         = 0x10
)

// withoutHandshakes is a socket filter that drops TCP segments that begin a handshake.
var withoutHandshakes = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpSYN | tcpACK},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: tcpSYN},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32},
}

// ignoreHandshakes makes the kernel drop handshakes that begin from now on, so that the queue of
// connections that wait to be accepted only gets shorter. Callers repeat a handshake that was dropped
// and find the address closed. Those under way go on.
func ignoreHandshakes(l net.Listener) error {
	source, ok := l.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return err
	}
	program := unix.SockFprog{Len: uint16(len(withoutHandshakes)), Filter: &withoutHandshakes[0]}
	var attachErr error
	err = raw.Control(func(listener uintptr) {
		attachErr = unix.SetsockoptSockFprog(int(listener), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	return errors.Join(err, attachErr)
}

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
// connections. The system calls don't wait, and bypass the Go scheduler: unless handshakes are
// ignored, a pause between them lets connections arrive.
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
