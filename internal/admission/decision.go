package admission

// Reason says why a connection or a request was not admitted.
type Reason uint8

// Reasons. The limits are those of Config; ReasonCount is how many reasons there are.
const (
	ReasonNone    Reason = iota // admitted
	ConnLimit                   // MaxConns
	ListenerLimit               // Caps.Listener
	AddressLimit                // Caps.Address
	PrefixLimit                 // Caps.Prefix
	AddressRate                 // Rates.Address
	PrefixRate                  // Rates.Prefix
	ReserveLimit                // unknown clients would use connections that are reserved for known ones
	BufferLimit                 // the buffers of all connections leave no room for a request
	ReasonCount
)

// String is the reason's name in responses, logs and metrics, "" for ReasonNone.
func (r Reason) String() string {
	return [...]string{"", "total", "listener", "address", "prefix", "address rate", "prefix rate", "reserve", "buffers"}[r]
}

// Decision is what becomes of a new connection.
type Decision struct {
	Accept bool
	// Reason is why it is rejected, ReasonNone if it is accepted.
	Reason Reason
	// SendRejection tells that a rejected connection gets a response. If false, it is
	// closed without one.
	SendRejection bool
	// Known tells whether the client is known.
	Known bool
	// Preempt tells that the connection PreemptID is to be closed to make room. It is
	// idle, or its request has not been accepted yet. Admission has removed it already.
	Preempt   bool
	PreemptID uint64
}
