package fake

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	_firstPort = 20000
	_ports     = 12000
)

var _nextPort atomic.Uint32

// FreeAddr returns an address that stays free until the intended process listens
// on it, and while that process restarts. To avoid collisions, each calling
// process uses its own loopback address, and the port lies outside the kernel's
// range of ephemeral ports.
func FreeAddr(ctx context.Context) (string, error) {
	pid := os.Getpid()
	var lc net.ListenConfig
	for range _ports {
		port := _firstPort + _nextPort.Add(1)%_ports
		addr := fmt.Sprintf("127.%d.%d.1:%d", 1+pid>>8&0x7f, pid&0xff, port)
		l, err := lc.Listen(ctx, "tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		return addr, nil
	}
	return "", errors.New("no free address")
}
