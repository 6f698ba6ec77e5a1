package transport

import (
	"io"
	"net"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// errBroke is the error of a connection that ended without being closed by the other side.
const errBroke = errors.ConstError("connection broke: the other side has not closed it")

// endOf returns the error for the end of a connection: io.EOF if the other side has closed it. The kernel reports a reset
// or a timeout once, to a read or to a write. After a write, reads end as if the other side had closed the connection, and
// only the state of the connection tells the two apart.
func endOf(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return io.EOF
	}
	state, err := tcpState(tcp)
	if err != nil {
		return errors.Annotate(err, "state of a connection that ended")
	}
	if state != unix.BPF_TCP_CLOSE_WAIT {
		return errBroke
	}
	return io.EOF
}

// tcpState returns the kernel's state of a connection.
func tcpState(conn *net.TCPConn) (state uint8, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			state = info.State
		}
	})
	if err != nil {
		return 0, err
	}
	return state, infoErr
}
