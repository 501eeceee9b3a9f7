package mesh

import "github.com/tinylib/msgp/msgp"

// Decode decodes a message of a peer. An array or a map that claims more elements than the
// message holds is an error, before memory is allocated for them.
func Decode(message []byte, into msgp.Unmarshaler) error {
	if _, err := msgp.Skip(message); err != nil {
		return err
	}
	_, err := into.UnmarshalMsg(message)
	return err
}
