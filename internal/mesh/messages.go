package mesh

//go:generate go tool msgp -tests=false -io=false -unexported -file messages.go

// hello is the first handshake frame in each direction.
type hello struct {
	Version  uint32 `msg:"v"`
	Instance string `msg:"i"`
	Nonce    []byte `msg:"n"`
	// Proof is empty in the dialer's hello.
	Proof []byte `msg:"p"`
}

// proof is the dialer's last handshake frame.
type proof struct {
	Proof []byte `msg:"p"`
}

// openBody starts a stream with its first message.
type openBody struct {
	Method  string `msg:"m"`
	Message []byte `msg:"b"`
}

// endBody ends one direction of a stream; an empty Code means success.
type endBody struct {
	Code    string `msg:"c"`
	Step    string `msg:"s"`
	Peer    string `msg:"p"`
	Message string `msg:"m"`
}
