package routes

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

//go:generate go tool msgp -tests=false -io=false -file patch.go

// Patch creates one version of a document from another. Most changes affect only a
// few of hundreds of routes, and a control member's link is slow, so unchanged parts
// are not sent again.
type Patch struct {
	// Version is the version of the resulting document.
	Version uint64 `msg:"v"`
	// Base is the version that the patch applies to; 0 for the empty document.
	Base   uint64  `msg:"b,omitempty"`
	Pieces []Piece `msg:"p"`
	// Text is the inserted text of all pieces, compressed.
	Text []byte `msg:"t"`
	// Sum is the xxhash of the resulting document.
	Sum uint64 `msg:"h"`
}

//msgp:tuple Piece

// Piece copies Length bytes of the base from Offset on and then inserts the next
// Insert bytes of the patch's text.
type Piece struct{ Offset, Length, Insert int }

// NewPatch returns the patch from base to next; a nil base means the empty document.
func NewPatch(base, next *Document) (*Patch, error) {
	p := &Patch{Version: next.version, Sum: xxhash.Sum64(next.bytes)}
	var baseText []byte
	if base != nil {
		p.Base, baseText = base.version, base.bytes
	}
	pieces, text := diff(baseText, next.bytes)
	p.Pieces = pieces
	var err error
	p.Text, err = compress(text)
	return p, err
}

// blockBytes is the length of the blocks by which parts of the base are matched: it
// is shorter than a route, and longer than the text that all routes have in common.
const blockBytes = 24

// diff returns the pieces and the inserted text that create next from base. It
// searches next for blocks of base, as rsync does (Tridgell and Mackerras, 1996).
func diff(base, next []byte) (pieces []Piece, text []byte) {
	var blocks map[string]int
	piece := Piece{Length: commonPrefixLen(base, next)}
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
		piece = Piece{Offset: offset, Length: commonPrefixLen(base[offset:], next[at:])}
		at += piece.Length
	}
	return append(pieces, piece), text
}

// indexBlocks maps each block of the base to its offset, or to the first offset if
// several blocks are equal.
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

// findBlock returns the offset in the base of the block that text begins with. found is
// false if the base does not contain that block, or text is shorter than a block.
func findBlock(blocks map[string]int, text []byte) (offset int, found bool) {
	if len(text) < blockBytes {
		return 0, false
	}
	offset, found = blocks[string(text[:blockBytes])]
	return offset, found
}

// commonPrefixLen returns the length of the longest common prefix of a and b.
func commonPrefixLen(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// AppliesTo reports whether the patch can be applied to the document; nil means the
// empty one. A patch with Base 0 applies to every document.
func (p *Patch) AppliesTo(base *Document) bool {
	return p.Base == 0 || base != nil && base.version == p.Base
}

// Apply returns the document that results from applying the patch to base. It
// returns an ErrDocument if the patch does not apply to base or is damaged.
func (p *Patch) Apply(base *Document) (*Document, error) {
	if !p.AppliesTo(base) {
		return nil, ErrDocument.New("the patch to version %d requires base version %d, but another document or none was given as the base", p.Version, p.Base)
	}
	var baseText []byte
	if p.Base != 0 {
		baseText = base.bytes
	}
	text, err := decompress(p.Text)
	if err != nil {
		return nil, err
	}
	var sent bytes.Buffer
	for _, piece := range p.Pieces {
		if !piece.within(len(baseText), len(text)) || sent.Len()+piece.Length+piece.Insert > MaxDocumentBytes {
			return nil, ErrDocument.New("a piece of the patch to version %d lies outside the base (%d bytes) or the inserted text, or makes the document larger than %d bytes", p.Version, len(baseText), MaxDocumentBytes)
		}
		sent.Write(baseText[piece.Offset : piece.Offset+piece.Length])
		sent.Write(text[:piece.Insert])
		text = text[piece.Insert:]
	}
	if xxhash.Sum64(sent.Bytes()) != p.Sum {
		return nil, ErrDocument.New("the document patched to version %d does not match the patch's checksum", p.Version)
	}
	return NewDocument(p.Version, sent.Bytes()), nil
}

// within reports whether the piece is within a base and a text of these lengths.
func (p Piece) within(base, text int) bool {
	return p.Offset >= 0 && p.Length >= 0 && p.Insert >= 0 &&
		p.Offset <= base && p.Length <= base-p.Offset && p.Insert <= text
}
