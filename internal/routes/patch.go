package routes

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

//go:generate go tool msgp -tests=false -io=false -file patch.go

// Patch makes one version of a document out of another. Most changes touch one
// place of hundreds of routes, and a control member's link is slow: what lies before
// and after that place is not sent again.
type Patch struct {
	// Version is that of the document that the patch makes.
	Version uint64 `msg:"v"`
	// Base is the version that it starts from; 0 for the empty document.
	Base uint64 `msg:"b,omitempty"`
	// Prefix and Suffix are how many bytes of the base stay at either end.
	Prefix int `msg:"p,omitempty"`
	Suffix int `msg:"s,omitempty"`
	// Middle is what stands between them, compressed.
	Middle []byte `msg:"m"`
	// Sum is the xxhash of the document that the patch makes.
	Sum uint64 `msg:"h"`
}

// NewPatch returns the patch that makes a document of a base; nil means the empty
// document.
func NewPatch(base, next *Document) (*Patch, error) {
	p := &Patch{Version: next.version, Sum: xxhash.Sum64(next.sent)}
	middle := next.sent
	if base != nil {
		p.Base = base.version
		p.Prefix = commonPrefix(base.sent, next.sent)
		p.Suffix = commonSuffix(base.sent[p.Prefix:], next.sent[p.Prefix:])
		middle = next.sent[p.Prefix : len(next.sent)-p.Suffix]
	}
	var err error
	p.Middle, err = compress(middle)
	return p, err
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
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
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix+p.Suffix > len(from) {
		return nil, ErrDocument.New("the patch to version %d keeps more than its base holds", p.Version)
	}
	middle, err := decompress(p.Middle)
	if err != nil {
		return nil, err
	}
	sent := slices.Concat(from[:p.Prefix], middle, from[len(from)-p.Suffix:])
	if xxhash.Sum64(sent) != p.Sum {
		return nil, ErrDocument.New("the patch to version %d makes another document than its sender's", p.Version)
	}
	return NewDocument(p.Version, sent), nil
}
