package node

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"golang.org/x/sys/unix"
)

// connectionKey is the key of a caller's connection in the context of its requests.
type connectionKey struct{}

func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// arrival is what the kernel tells of how a request has arrived at this machine. The kernel runs while this
// process stands still.
type arrival struct {
	at time.Duration // when the last data of its connection arrived; 0 if unknown
	// openBefore is for how long the connection had been open then, if nothing has been sent on it by this
	// host: the caller may have sent the request at any time since. 0 for later requests.
	openBefore time.Duration
}

// arrivalOf returns the arrival of the request with this context.
func (n *Node) arrivalOf(ctx context.Context) arrival {
	connection, ok := ctx.Value(connectionKey{}).(syscall.Conn)
	if !ok {
		return arrival{}
	}
	now := n.Clock.Now() // before the ages are read, as this process may stand still in between
	info, ok := tcpInfo(connection)
	if !ok {
		return arrival{}
	}
	a := arrival{at: max(1, now-common.Milliseconds(int64(info.Last_data_recv)))}
	if info.Data_segs_out == 0 { // the kernel then counts from when the connection was opened
		a.openBefore = max(0, common.Milliseconds(int64(info.Last_data_sent))-common.Milliseconds(int64(info.Last_data_recv)))
	}
	return a
}

// tcpInfo returns what the kernel tells of a TCP connection.
func tcpInfo(connection syscall.Conn) (info *unix.TCPInfo, ok bool) {
	raw, err := connection.SyscallConn()
	if err != nil {
		return nil, false
	}
	var infoErr error
	err = raw.Control(func(descriptor uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, err == nil && infoErr == nil
}
