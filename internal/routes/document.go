package routes

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/tinylib/msgp/msgp"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// MaxDocumentBytes bounds an uncompressed document.
const MaxDocumentBytes = 4 << 20

// ErrDocument means that a document or a patch cannot be decoded or applied.
var ErrDocument = fleet.Errors.NewType("routes_document")

// Decoder decodes an operator's document into a Table. Each document format has its
// own implementation.
type Decoder func(document []byte) (*Table, error)

// Document is a table as an operator sent it. It is immutable, and compressed when
// encoded.
type Document struct {
	version uint64
	bytes   []byte

	once    sync.Once
	encoded []byte // bytes, compressed at the first call of compressed
	failed  error  // error of the compression
}

// NewDocument returns the document that an operator sent; version is that of the table
// in it.
func NewDocument(version uint64, sent []byte) *Document {
	return &Document{version: version, bytes: sent}
}

// Version returns the table's version.
func (d *Document) Version() uint64 { return d.version }

// Bytes returns the document as it was sent. Callers must not modify it.
func (d *Document) Bytes() []byte { return d.bytes }

// compressed returns the compressed document, which it caches.
func (d *Document) compressed() ([]byte, error) {
	d.once.Do(func() { d.encoded, d.failed = compress(d.bytes) })
	return d.encoded, d.failed
}

// MarshalMsg implements msgp.Marshaler.
func (d *Document) MarshalMsg(b []byte) ([]byte, error) {
	encoded, err := d.compressed()
	if err != nil {
		return b, err
	}
	b = msgp.AppendArrayHeader(b, 2)
	b = msgp.AppendUint64(b, d.version)
	return msgp.AppendBytes(b, encoded), nil
}

// UnmarshalMsg implements msgp.Unmarshaler.
func (d *Document) UnmarshalMsg(b []byte) ([]byte, error) {
	fields, b, err := msgp.ReadArrayHeaderBytes(b)
	if err != nil {
		return b, err
	}
	if fields != 2 {
		return b, ErrDocument.New("the encoded document has %d fields, want 2", fields)
	}
	if d.version, b, err = msgp.ReadUint64Bytes(b); err != nil {
		return b, err
	}
	encoded, b, err := msgp.ReadBytesBytes(b, nil)
	if err != nil {
		return b, err
	}
	d.bytes, err = decompress(encoded)
	return b, err
}

// Msgsize implements msgp.Sizer: an upper bound of the encoded size.
func (d *Document) Msgsize() int {
	return msgp.ArrayHeaderSize + msgp.Uint64Size + msgp.BytesPrefixSize + len(d.bytes)
}

func compress(plain []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, ErrDocument.Wrap(err, "compress the data")
	}
	if _, err := w.Write(plain); err != nil {
		return nil, ErrDocument.Wrap(err, "compress the data")
	}
	if err := w.Close(); err != nil {
		return nil, ErrDocument.Wrap(err, "compress the data")
	}
	return out.Bytes(), nil
}

func decompress(encoded []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(encoded))
	plain, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1))
	switch {
	case err != nil:
		return nil, ErrDocument.Wrap(err, "decompress the data")
	case len(plain) > MaxDocumentBytes:
		return nil, ErrDocument.New("the decompressed data is longer than %d bytes", MaxDocumentBytes)
	}
	return plain, nil
}
