// Package deflate compresses the bulk data that the fleet's processes send each other.
// Memberships, lists and copies of the configuration repeat names and fields, and links
// of a few megabits a second are the bottleneck of a large fleet.
package deflate

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Errors returned by Decompress.
var (
	ErrTooLong   = fleet.Errors.NewType("deflate_too_long")
	ErrMalformed = fleet.Errors.NewType("deflate_malformed")
)

// compressor is the reusable state of Compress. Creating a flate.Writer costs more than
// compressing a message.
type compressor struct {
	out    bytes.Buffer
	writer *flate.Writer
}

var compressors = sync.Pool{New: func() any {
	c := new(compressor)
	// BestSpeed because control members have only 8% of a core.
	c.writer, _ = flate.NewWriter(&c.out, flate.BestSpeed) // fails only for an invalid level
	return c
}}

// Compress returns the message compressed with DEFLATE (RFC 1951). It is safe for
// concurrent use.
func Compress(message []byte) []byte {
	c := compressors.Get().(*compressor)
	defer compressors.Put(c)
	c.out.Reset()
	c.writer.Reset(&c.out)
	_, _ = c.writer.Write(message) // writes to a bytes.Buffer cannot fail
	_ = c.writer.Close()
	return bytes.Clone(c.out.Bytes())
}

// Decompress decompresses the result of Compress. It returns an ErrTooLong if the message is
// longer than limit bytes, and an ErrMalformed if compressed is corrupt or truncated.
func Decompress(compressed []byte, limit int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	message, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	switch {
	case err != nil:
		return nil, ErrMalformed.Wrap(err, "malformed compressed message of %d bytes", len(compressed))
	case len(message) > limit:
		return nil, ErrTooLong.New("decompressed message exceeds %d bytes", limit)
	}
	return message, nil
}
