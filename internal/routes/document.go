package routes

//go:generate go tool msgp -tests=false -io=false -file document.go

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// MaxDocumentBytes bounds a document as it is sent.
const MaxDocumentBytes = 4 << 20

// ErrDocument means that a document cannot be decompressed.
var ErrDocument = fleet.Errors.NewType("routes_document")

// Document is a table as operators sent it.
type Document struct {
	Version uint64 `msg:"v"`
	// Encoded is the document, compressed by Compress.
	Encoded []byte `msg:"e"`
}

// Decoder decodes what operators send. The dialect that they speak implements it.
type Decoder func(document []byte) (*Table, error)

// NewDocument returns the document of a table's version.
func NewDocument(version uint64, sent []byte) (*Document, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, ErrDocument.Wrap(err, "compress")
	}
	if _, err := w.Write(sent); err != nil {
		return nil, ErrDocument.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, ErrDocument.Wrap(err, "compress")
	}
	return &Document{Version: version, Encoded: out.Bytes()}, nil
}

// Sent returns the document as it was sent.
func (d *Document) Sent() ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(d.Encoded))
	sent, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1))
	switch {
	case err != nil:
		return nil, ErrDocument.Wrap(err, "version %d", d.Version)
	case len(sent) > MaxDocumentBytes:
		return nil, ErrDocument.New("version %d is longer than %d bytes", d.Version, MaxDocumentBytes)
	}
	return sent, nil
}
