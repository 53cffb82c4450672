package stand

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// firstPort is below the ports that the kernel gives to outgoing connections.
const firstPort = 10_000

var portsTaken atomic.Int64

// LoopbackAddresses returns addresses that no other process uses: on a loopback IP number made from the process id, with ports counted up.
func LoopbackAddresses(n int) []string {
	const bits, mask = 7, 1<<7 - 1
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+pid>>(2*bits)&mask), byte(pid>>bits&mask), byte(1+pid&mask))
	addresses := make([]string, n)
	for i := range addresses {
		addresses[i] = net.JoinHostPort(ip.String(), strconv.FormatInt(firstPort+portsTaken.Add(1), 10))
	}
	return addresses
}
