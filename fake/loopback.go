package fake

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// firstPort starts a range of ports below those that the kernel assigns to outgoing connections.
const firstPort = 10_000

var portsUsed atomic.Int64

// LoopbackAddresses returns n addresses that no other process gets: the three lower bytes of the IP address hold seven bits each of the process ID, and the ports are counted up.
func LoopbackAddresses(n int) []string {
	const bits, mask = 7, 1<<7 - 1
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+pid>>(2*bits)&mask), byte(pid>>bits&mask), byte(1+pid&mask))
	addresses := make([]string, n)
	for i := range addresses {
		addresses[i] = net.JoinHostPort(ip.String(), strconv.FormatInt(firstPort+portsUsed.Add(1), 10))
	}
	return addresses
}
