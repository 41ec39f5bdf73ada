package gateway

// Op is what the driver has to do with a connection.
type Op uint8

// Operations on connections.
const (
	Dial       Op = iota // connect to Addr, then call Connected or Closed
	Flush                // write the bytes that Out returns and call Wrote
	Pause                // stop reading
	Resume               // read again
	CloseWrite           // shut down the sending side
	Close                // close the connection; no further event of it is expected
	Abort                // close the connection with a reset; no further event of it is expected
)

func (o Op) String() string {
	return [...]string{"dial", "flush", "pause", "resume", "close-write", "close", "abort"}[o]
}

// Action is an operation that the driver has to carry out. Actions are carried
// out in the order in which Advance returns them.
type Action struct {
	Op   Op
	Conn ConnID
	Addr string // host:port; set for Dial only
}

// actionQueue collects the actions that the next return of Advance hands to the
// driver. It has two buffers, as the driver still reads the actions of the last
// call while those of the next one are collected.
type actionQueue struct {
	pending []Action
	spare   []Action
}

// add queues an operation on a connection.
func (q *actionQueue) add(op Op, id ConnID) {
	q.pending = append(q.pending, Action{Op: op, Conn: id})
}

// dial queues the making of a connection.
func (q *actionQueue) dial(id ConnID, addr string) {
	q.pending = append(q.pending, Action{Op: Dial, Conn: id, Addr: addr})
}

// take returns the queued actions, which are valid until the next take.
func (q *actionQueue) take() []Action {
	taken := q.pending
	q.pending, q.spare = q.spare[:0], taken
	return taken
}
