package admission

// Reason is the limit for which a connection or a request is rejected.
type Reason uint8

// Reasons, with the limit of Config that each stands for. ReasonCount is the number of reasons.
const (
	ReasonNone    Reason = iota // admitted
	ConnLimit                   // MaxConns
	ListenerLimit               // Caps.Listener
	AddressLimit                // Caps.Address
	PrefixLimit                 // Caps.Prefix
	AddressRate                 // Rates.Address
	PrefixRate                  // Rates.Prefix
	ReserveLimit                // Reserve: too many connections of unknown clients have a request under way
	BufferLimit                 // Buffers.TotalBytes, for unknown clients without the share of Reserve
	ReasonCount
)

// String returns the name of the reason in responses, logs and metrics; "" for ReasonNone.
func (r Reason) String() string {
	return [...]string{"", "total", "listener", "address", "prefix", "address rate", "prefix rate", "reserve", "buffers"}[r]
}

// Decision is the outcome of Admit for a new connection.
type Decision struct {
	Accept bool
	// Reason is the limit that rejects the connection; ReasonNone if it is accepted.
	Reason Reason
	// SendRejection is set if a rejected connection gets a response. Otherwise it is closed
	// without one.
	SendRejection bool
	// Known is set if the client is known.
	Known bool
	// Preempt is set if the caller has to close connection PreemptID to make room. That
	// connection is idle, or its request is not accepted yet. The Admission no longer tracks
	// it, so the caller need not call Closed. Preempt may be set although another limit then
	// rejects the new connection.
	Preempt   bool
	PreemptID uint64
}
