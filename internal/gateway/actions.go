package gateway

// Op is an operation that the driver carries out on a connection.
type Op uint8

// Operations on connections.
const (
	Dial       Op = iota // connect to Addr, then call Connected or Closed
	Flush                // write the bytes that PendingOutput returns and call Wrote, until none are left or the socket is full
	Read                 // read once without waiting, and call Data, EOF or Closed if there is something to report
	Discard              // from now on, read only to find the end of the input, and call EOF or Closed but not Data
	Pause                // stop reading
	Resume               // start reading again
	CloseWrite           // shut down the sending side
	Close                // close the connection; further events of it are ignored
	Abort                // close the connection with a reset; further events of it are ignored
)

func (o Op) String() string {
	return [...]string{"dial", "flush", "read", "discard", "pause", "resume", "close-write", "close", "abort"}[o]
}

// Action is an operation on one connection. The driver carries out actions in the order in
// which Advance returns them.
type Action struct {
	Op   Op
	Conn ConnID
	Addr string // host:port; set for Dial only
}

// actionQueue collects the actions that the next call of Advance returns. It alternates
// between two buffers, because the driver still reads the actions of the last call while
// new actions are added.
type actionQueue struct {
	pending []Action
	spare   []Action
}

// add queues an operation on a connection.
func (q *actionQueue) add(op Op, id ConnID) {
	q.pending = append(q.pending, Action{Op: op, Conn: id})
}

// dial queues a Dial of addr for a new connection.
func (q *actionQueue) dial(id ConnID, addr string) {
	q.pending = append(q.pending, Action{Op: Dial, Conn: id, Addr: addr})
}

// take returns the queued actions, which are valid until the next take.
func (q *actionQueue) take() []Action {
	taken := q.pending
	q.pending, q.spare = q.spare[:0], taken
	return taken
}
