package answer

//go:generate go tool msgp -tests=false -io=false -file event.go

// Event is one event of a streamed answer.
type Event struct {
	// Offset numbers token events from 1; 0 marks an event without a number,
	// such as the usage chunk.
	Offset uint64 `msg:"offset"`
	// Data is the event's payload. The functions that return an Event document how
	// long it stays valid.
	Data []byte `msg:"data"`
	// Done marks the explicit end of the stream. Data is then empty.
	Done bool `msg:"done"`
}
