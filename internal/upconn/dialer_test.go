package upconn

import (
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// The timeout for unacknowledged data also decides when keep-alive probes give up, so their
// number must agree with it, and an upstream may be silent for a second.
func TestKeepAliveProbesAgreeWithUserTimeout(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	conn, err := newDialer(DefaultOptions()).Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	option := func(name int) time.Duration {
		raw, err := conn.(syscall.Conn).SyscallConn()
		g.Expect(err).NotTo(HaveOccurred())
		value := 0
		g.Expect(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) })).To(Succeed())
		g.Expect(err).NotTo(HaveOccurred())
		return time.Duration(value)
	}
	userTimeout := option(unix.TCP_USER_TIMEOUT) * time.Millisecond
	byProbes := (option(unix.TCP_KEEPIDLE) + option(unix.TCP_KEEPINTVL)*option(unix.TCP_KEEPCNT)) * time.Second
	g.Expect(userTimeout).To(Equal(byProbes))
	g.Expect(userTimeout).To(BeNumerically(">", 2*time.Second))
}
