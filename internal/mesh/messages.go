package mesh

//go:generate go tool msgp -tests=false -io=false -unexported -file messages.go

// hello opens the handshake in both directions.
type hello struct {
	Version  uint32 `msg:"v"`
	Instance string `msg:"i"`
	Nonce    []byte `msg:"n"`
	// Proof is empty in the dialler's hello.
	Proof []byte `msg:"p"`
}

// proof closes the handshake from the dialler.
type proof struct {
	Proof []byte `msg:"p"`
}

// openBody starts a stream with its first message.
type openBody struct {
	Method  string `msg:"m"`
	Message []byte `msg:"b"`
}

// endBody ends one direction of a stream; an empty Code is success.
type endBody struct {
	Code    string `msg:"c"`
	Step    string `msg:"s"`
	Peer    string `msg:"p"`
	Message string `msg:"m"`
}
