package node

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connectionKey is the key of a caller's connection in the context of its requests.
type connectionKey struct{}

func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// arrivalOf returns when the request with this context arrived at the machine, by the kernel, which runs
// while this process stands still: when the last data of its connection did. It returns 0 if that is
// unknown.
func (n *Node) arrivalOf(ctx context.Context) time.Duration {
	connection, ok := ctx.Value(connectionKey{}).(syscall.Conn)
	if !ok {
		return 0
	}
	now := n.Clock.Now() // before the age is read, as this process may stand still in between
	age, ok := dataAge(connection)
	if !ok {
		return 0
	}
	return max(1, now-age)
}

// dataAge returns how long ago the last data of a TCP connection arrived at this machine.
func dataAge(connection syscall.Conn) (age time.Duration, ok bool) {
	raw, err := connection.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(descriptor uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}
