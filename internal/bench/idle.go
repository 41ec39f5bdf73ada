package bench

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

const (
	idleConnections = 8000
	// idleSettleTime passes between the last response and the measurement.
	idleSettleTime = 200 * time.Millisecond
)

// idleMemory measures the resident memory of idle client connections, each after one request.
func (o *Options) idleMemory(gateway *process) error {
	before := gateway.memory(residentMemory)
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
	perConnection := (gateway.memory(residentMemory) - before) / idleConnections
	fmt.Fprintf(o.Out, "an idle client connection costs %d bytes (%d of them, resident memory of the process)\n",
		perConnection, idleConnections)
	return nil
}
