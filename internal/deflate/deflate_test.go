package deflate

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestCompressAndDecompress(t *testing.T) {
	is := is.New(t)
	text := []byte(strings.Repeat("front-medeu-1 10.1.0.9:7340 medeu ", 300))
	compressed := Compress(text)
	is.True(len(compressed) < len(text)/10)
	for _, message := range [][]byte{nil, []byte("a"), text} {
		got, err := Decompress(Compress(message), len(text))
		is.NoErr(err)
		is.True(bytes.Equal(got, message))
	}
	_, err := Decompress(compressed, len(text)-1)
	is.True(err != nil)
	_, err = Decompress(compressed[:len(compressed)/2], len(text))
	is.True(err != nil) // a truncated message is not accepted as a shorter one
	_, err = Decompress([]byte("not deflate"), len(text))
	is.True(err != nil)
}
