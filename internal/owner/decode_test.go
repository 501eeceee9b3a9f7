package owner

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/mesh"
)

// A call of a few bytes that claimed billions of header fields ended the process for lack of memory.
func TestCallThatClaimsMoreFieldsThanItHolds(t *testing.T) {
	is := is.New(t)
	for name, m := range map[string]interface {
		MarshalMsg([]byte) ([]byte, error)
		UnmarshalMsg([]byte) ([]byte, error)
	}{
		"request": &CallRequest{Fields: []HeaderField{{Name: "x"}}}, "reply": &CallReply{Fields: []HeaderField{{Name: "x"}}},
	} {
		t.Run(name, func(t *testing.T) {
			encoded, err := m.MarshalMsg(nil)
			is.NoErr(err)
			at := bytes.IndexByte(encoded, 0x91) // an array of one
			is.True(at > 0)
			malformed := append(append(bytes.Clone(encoded[:at]), 0xdd, 0xff, 0xff, 0xff, 0xff), encoded[at+1:]...)
			is.True(mesh.Decode(malformed, m) != nil)
		})
	}
}
