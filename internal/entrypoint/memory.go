package entrypoint

import "github.com/buckthorndock/buckthorndock/internal/core/conntable"

// Memory is what a process may use, in bytes.
type Memory int64

// MB returns a Memory of n times 2^20 bytes.
func MB(n float64) Memory { return Memory(n * (1 << 20)) }

// Parts of a process's memory that clients' connections may take. Bodies of requests and what is held
// of answers have others.
const (
	headShare       = 0.1  // heads of requests, beyond conntable.FreeHeadMemory each
	connectionShare = 0.15 // connections, each of connectionMemory
	unreadShare     = 0.2  // what the kernel holds for the process and the process has not read
)

// HeapLimitShare is the part of a process's memory that is the garbage collector's soft limit; the rest is
// for the program, the kernel's buffers and allocations between two collections.
const HeapLimitShare = 0.6

// connectionMemory is what an open connection takes in bytes: its goroutine, its buffers, and a head that
// is not counted.
const connectionMemory = 20<<10 + conntable.FreeHeadMemory

// Share returns a part of the memory in bytes.
func (m Memory) Share(part float64) int64 { return int64(part * float64(m)) }

// MaxConnections returns how many connections of clients the memory has room for.
func (m Memory) MaxConnections() int { return int(m.Share(connectionShare) / connectionMemory) }

// Sizes of a connection's receive buffer, in bytes. The kernel uses twice the size that it is asked for.
const (
	minReceiveBuffer = 8 << 10
	maxReceiveBuffer = 1 << 20
	kernelFactor     = 2
)

// receiveBuffer returns the size to ask for, such that a number of connections stay within the memory
// for what is unread.
func (m Memory) receiveBuffer(connections int) int {
	size := m.Share(unreadShare) / int64(max(connections, 1)) / kernelFactor
	return int(min(max(size, minReceiveBuffer), maxReceiveBuffer))
}
