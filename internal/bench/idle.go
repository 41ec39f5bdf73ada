package bench

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

const (
	idleConnections = 8000
	// idleSettleTime is the time between the last response and the measurement.
	idleSettleTime = 200 * time.Millisecond
)

// idleMemory measures and prints the resident memory that the gateway uses for each idle client
// connection. Each connection has sent one request before.
func (o *Options) idleMemory(gateway *process) error {
	before := gateway.memoryBytes(residentMemory)
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	for range idleConnections {
		conn, err := net.Dial("tcp", gateway.addr)
		if err != nil {
			return err
		}
		conns = append(conns, conn)
		if _, err := get(conn, bufio.NewReader(conn), smallObject); err != nil {
			return err
		}
	}
	time.Sleep(idleSettleTime)
	perConnection := (gateway.memoryBytes(residentMemory) - before) / idleConnections
	fmt.Fprintf(o.Out, "an idle client connection costs %d bytes (%d of them, resident memory of the process)\n",
		perConnection, idleConnections)
	return nil
}
