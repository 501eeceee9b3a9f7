package consensus

import "github.com/tinylib/msgp/msgp"

// decode decodes a message of another member, or a part of one. It checks first that the message
// holds as many elements as it claims: decoding would allocate memory for all of them.
func decode(b []byte, into msgp.Unmarshaler) error {
	if _, err := msgp.Skip(b); err != nil {
		return err
	}
	_, err := into.UnmarshalMsg(b)
	return err
}

// DecodeMessage decodes a message that another member has encoded with MarshalMsg.
func DecodeMessage(b []byte) (m Message, err error) {
	err = decode(b, &m)
	return m, err
}
