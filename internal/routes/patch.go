package routes

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

//go:generate go tool msgp -tests=false -io=false -file patch.go

// Patch makes one version of a document out of another. Most changes touch a few
// places of hundreds of routes, and a control member's link is slow: what stays is
// not sent again.
type Patch struct {
	// Version is that of the document that the patch makes.
	Version uint64 `msg:"v"`
	// Base is the version that it starts from; 0 for the empty document.
	Base   uint64  `msg:"b,omitempty"`
	Pieces []Piece `msg:"p"`
	// Text is what the pieces insert, compressed.
	Text []byte `msg:"t"`
	// Sum is the xxhash of the document that the patch makes.
	Sum uint64 `msg:"h"`
}

//msgp:tuple Piece

// Piece copies Length bytes of the base from Offset on and then inserts the next
// Insert bytes of the patch's text.
type Piece struct{ Offset, Length, Insert int }

// NewPatch returns the patch that makes a document of a base; nil means the empty
// document.
func NewPatch(base, next *Document) (*Patch, error) {
	p := &Patch{Version: next.version, Sum: xxhash.Sum64(next.sent)}
	var from []byte
	if base != nil {
		p.Base, from = base.version, base.sent
	}
	pieces, text := diff(from, next.sent)
	p.Pieces = pieces
	var err error
	p.Text, err = compress(text)
	return p, err
}

// blockBytes is the length of the blocks by which places of the base are found
// again: shorter than a route, longer than what all routes have in common.
const blockBytes = 24

// diff returns what makes next of base, by looking for the base's blocks in next
// (as rsync does; Tridgell and Mackerras, 1996).
func diff(base, next []byte) (pieces []Piece, text []byte) {
	var blocks map[string]int
	piece := Piece{Length: commonPrefix(base, next)}
	at := piece.Length
	for at < len(next) {
		if blocks == nil {
			blocks = indexBlocks(base)
		}
		offset, found := findBlock(blocks, next[at:])
		if !found {
			piece.Insert++
			text = append(text, next[at])
			at++
			continue
		}
		pieces = append(pieces, piece)
		piece = Piece{Offset: offset, Length: commonPrefix(base[offset:], next[at:])}
		at += piece.Length
	}
	return append(pieces, piece), text
}

// indexBlocks returns where each block of the base stands, the first of equal ones.
func indexBlocks(base []byte) map[string]int {
	blocks := make(map[string]int, len(base)/blockBytes)
	for at := 0; at+blockBytes <= len(base); at += blockBytes {
		key := string(base[at : at+blockBytes])
		if _, known := blocks[key]; !known {
			blocks[key] = at
		}
	}
	return blocks
}

// findBlock looks for the block that the text begins with.
func findBlock(blocks map[string]int, text []byte) (offset int, found bool) {
	if len(text) < blockBytes {
		return 0, false
	}
	offset, found = blocks[string(text[:blockBytes])]
	return offset, found
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// Fits tells whether the patch starts from the document; nil means the empty one.
func (p *Patch) Fits(base *Document) bool {
	return p.Base == 0 || base != nil && base.version == p.Base
}

// Apply returns the document that the patch makes of a base that it fits.
func (p *Patch) Apply(base *Document) (*Document, error) {
	if !p.Fits(base) {
		return nil, ErrDocument.New("the patch to version %d starts from version %d", p.Version, p.Base)
	}
	var from []byte
	if p.Base != 0 {
		from = base.sent
	}
	text, err := decompress(p.Text)
	if err != nil {
		return nil, err
	}
	var sent bytes.Buffer
	for _, piece := range p.Pieces {
		if !piece.within(len(from), len(text)) || sent.Len()+piece.Length+piece.Insert > MaxDocumentBytes {
			return nil, ErrDocument.New("the patch to version %d asks for more than there is", p.Version)
		}
		sent.Write(from[piece.Offset : piece.Offset+piece.Length])
		sent.Write(text[:piece.Insert])
		text = text[piece.Insert:]
	}
	if xxhash.Sum64(sent.Bytes()) != p.Sum {
		return nil, ErrDocument.New("the patch to version %d makes another document than its sender's", p.Version)
	}
	return NewDocument(p.Version, sent.Bytes()), nil
}

func (p Piece) within(base, text int) bool {
	return p.Offset >= 0 && p.Length >= 0 && p.Insert >= 0 &&
		p.Offset <= base && p.Length <= base-p.Offset && p.Insert <= text
}
