package routes

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// validTable returns a table that Check accepts.
func validTable() *Table {
	return &Table{
		Version: 3,
		Pools:   []Pool{{Name: "language"}, {Name: "counter"}},
		Routes: []Route{
			{Name: "notes", Host: "press.example", Prefix: "/notes/", Timeout: time.Second, Split: []Share{{"language", 1}}},
			{Name: "drafts", Host: "press.example", Prefix: "/notes/drafts/", Timeout: time.Second, Split: []Share{{"language", 3}, {"counter", 1}}},
			{Name: "pickups", Host: "counter.example", Prefix: "/", Timeout: time.Second, Split: []Share{{"counter", 1}}},
		},
		Workspaces: []Workspace{{ID: "choir", Keys: []string{"k1", "k2"}}, {ID: "court", Keys: []string{"k3"}}},
	}
}

func TestCheck(t *testing.T) {
	cases := []struct {
		name      string
		change    func(*Table)
		violation string // part of the error; empty if the table is valid
	}{
		{"a valid table", func(*Table) {}, ""},
		{"version 0", func(t *Table) { t.Version = 0 }, "version"},
		{"an unknown pool", func(t *Table) { t.Routes[0].Split[0].Pool = "gone" }, `pool "gone" is unknown`},
		{"two routes of one host and prefix", func(t *Table) { t.Routes[1].Prefix = "/notes/" }, "belong to route"},
		{"one prefix at two hosts", func(t *Table) { t.Routes[2].Prefix = "/notes/" }, ""},
		{"weights that add up to 0", func(t *Table) { t.Routes[1].Split = []Share{{"language", 0}, {"counter", 0}} }, "add up to 0"},
		{"a negative weight", func(t *Table) { t.Routes[1].Split[0].Weight = -1 }, "negative"},
		{"no pool at all", func(t *Table) { t.Routes[0].Split = nil }, "add up to 0"},
		{"a timeout of 0", func(t *Table) { t.Routes[0].Timeout = 0 }, "timeout"},
		{"a prefix without a slash", func(t *Table) { t.Routes[0].Prefix = "/notes" }, "slash"},
		{"a pool twice", func(t *Table) { t.Pools[1].Name = "language" }, "duplicate"},
		{"two workspaces with one key", func(t *Table) { t.Workspaces[1].Keys = []string{"k2"} }, "share a key"},
		{"one workspace with a key twice", func(t *Table) { t.Workspaces[0].Keys = []string{"k1", "k1"} }, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			table := validTable()
			tc.change(table)
			err := table.Check()
			if tc.violation == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tc.violation)) // describes the violation
		})
	}
}

func TestRouteIsTheLongestPrefix(t *testing.T) {
	x := NewIndex(validTable())
	cases := []struct{ host, path, route string }{
		{"press.example", "/notes/17", "notes"},
		{"press.example", "/notes/drafts/17", "drafts"},
		{"press.example", "/notes/drafts", "notes"}, // the prefix ends with a slash
		{"press.example", "/notes", ""},
		{"press.example", "/other/", ""},
		{"counter.example", "/notes/17", "pickups"},
		{"unknown.example", "/notes/17", ""},
	}
	for _, tc := range cases {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			is := is.New(t)
			r := x.Route(tc.host, tc.path)
			if tc.route == "" {
				is.True(r == nil)
				return
			}
			is.True(r != nil)
			is.Equal(r.Name, tc.route)
		})
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	r := Route{Split: []Share{{"a", 0}, {"b", 3}, {"c", 1}, {"d", 0}}}
	count := map[fleet.PoolID]int{}
	const draws = 1000
	for i := range draws {
		count[r.Pick(float64(i)/draws)]++
	}
	is.Equal(count, map[fleet.PoolID]int{"b": 750, "c": 250})
}

func TestDocumentReadsBackAsSent(t *testing.T) {
	is := is.New(t)
	sent := []byte(strings.Repeat(`{"version":7, "routes" : [] }`, 500))
	doc := NewDocument(7, sent)
	encoded, err := doc.MarshalMsg(nil)
	is.NoErr(err)
	is.True(len(encoded) < len(sent)/10) // documents of hundreds of routes are sent over a slow link
	var back Document
	_, err = back.UnmarshalMsg(encoded)
	is.NoErr(err)
	is.Equal(back.Version(), uint64(7))
	is.Equal(string(back.Bytes()), string(sent))

	_, err = new(Document).UnmarshalMsg(encoded[:len(encoded)/2])
	is.True(err != nil) // a truncated encoding must not give a shorter table
}

func TestPatch(t *testing.T) {
	base := NewDocument(3, []byte(`{"version":3,"routes":[{"name":"a"},{"name":"b"},{"name":"c"}]}`))
	cases := map[string]string{
		"unchanged":         string(base.Bytes()),
		"one changed":       `{"version":4,"routes":[{"name":"a"},{"name":"x"},{"name":"c"}]}`,
		"one added":         `{"version":4,"routes":[{"name":"a"},{"name":"b"},{"name":"b"},{"name":"c"}]}`,
		"one removed":       `{"version":4,"routes":[{"name":"a"},{"name":"c"}]}`,
		"repeated end":      `{"version":3,"routes":[{"name":"a"},{"name":"b"},{"name":"c"}]}]}`,
		"two changes":       `{"version":4,"routes":[{"name":"x"},{"name":"b"},{"name":"c"},{"name":"d"}]}`,
		"another order":     `{"version":3,"routes":[{"name":"c"},{"name":"b"},{"name":"a"}]}`,
		"nothing in common": `[]`,
		"empty":             ``,
	}
	for name, sent := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			next := NewDocument(4, []byte(sent))
			patch, err := NewPatch(base, next)
			is.NoErr(err)
			encoded, err := patch.MarshalMsg(nil)
			is.NoErr(err)
			var decoded Patch
			_, err = decoded.UnmarshalMsg(encoded)
			is.NoErr(err)
			patched, err := decoded.Apply(base)
			is.NoErr(err)
			is.Equal(string(patched.Bytes()), sent)
			is.Equal(patched.Version(), uint64(4))

			other := NewDocument(2, base.Bytes())
			is.True(!decoded.AppliesTo(other))
			_, err = decoded.Apply(other)
			is.True(err != nil) // the base has another version
			// A base with the right version but other content must not give another
			// document.
			patched, err = decoded.Apply(NewDocument(3, []byte(`{"version":3,"routes":[{"name":"a"},{"name":"B"},{"name":"c"}]}`)))
			is.True(err != nil || string(patched.Bytes()) == sent)
		})
	}
	t.Run("complete document", func(t *testing.T) {
		is := is.New(t)
		patch, err := NewPatch(nil, base)
		is.NoErr(err)
		for _, current := range []*Document{nil, NewDocument(9, []byte("other"))} {
			patched, err := patch.Apply(current)
			is.NoErr(err)
			is.Equal(string(patched.Bytes()), string(base.Bytes()))
		}
	})
}

// The patch for a change of one route must take only a few hundred bytes of a control
// member's link, whatever the table's size. The version at the start and a route at
// the end of the document change.
func TestPatchOfManyRoutesIsSmall(t *testing.T) {
	is := is.New(t)
	text := func(version int, last string) []byte {
		var b strings.Builder
		fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
		for i := range 1400 {
			fmt.Fprintf(&b, `{"name":"route-%d","timeout_ms":1000},`, i*7919)
		}
		return []byte(b.String() + last)
	}
	base, next := NewDocument(1, text(17, `{"name":"old"}]}`)), NewDocument(2, text(18, `{"name":"new"}]}`))
	patch, err := NewPatch(base, next)
	is.NoErr(err)
	is.True(patch.Msgsize() < 400)
	is.True(len(base.Bytes()) > 40_000)
	patched, err := patch.Apply(base)
	is.NoErr(err)
	is.Equal(string(patched.Bytes()), string(next.Bytes()))
}

// Applying a patch that was damaged in transit must fail.
func TestDamagedPatches(t *testing.T) {
	base, next := NewDocument(1, []byte(strings.Repeat("abcdefgh", 20))), NewDocument(2, []byte(strings.Repeat("abcdefgh", 12)+"x"))
	cases := map[string]func(*Patch){
		"a negative offset":                     func(p *Patch) { p.Pieces[0].Offset = -1 },
		"a negative length":                     func(p *Patch) { p.Pieces[0].Length = -1 },
		"a length beyond the base":              func(p *Patch) { p.Pieces[0].Length = 1 << 40 },
		"an offset beyond the base":             func(p *Patch) { p.Pieces[0].Offset = 1 << 40 },
		"more inserted text than the patch has": func(p *Patch) { p.Pieces[0].Insert = 1 << 40 },
		"no pieces":                             func(p *Patch) { p.Pieces = p.Pieces[:0] },
		"damaged text":                          func(p *Patch) { p.Text = p.Text[:1] },
		"a result that is too long":             func(p *Patch) { p.Pieces = make([]Piece, 0, 1<<16); addOversizedPieces(&p.Pieces) },
	}
	for name, damage := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			patch, err := NewPatch(base, next)
			is.NoErr(err)
			damage(patch)
			_, err = patch.Apply(base)
			is.True(err != nil)
		})
	}
}

// addOversizedPieces adds pieces whose document would exceed MaxDocumentBytes.
func addOversizedPieces(pieces *[]Piece) {
	for range 1 << 16 {
		*pieces = append(*pieces, Piece{Length: 100})
	}
}

func FuzzPatch(f *testing.F) {
	f.Add([]byte(`{"version":3,"routes":[{"name":"a"},{"name":"b"}]}`), []byte(`{"version":4,"routes":[{"name":"b"}]}`))
	f.Fuzz(func(t *testing.T, before, after []byte) {
		base, next := NewDocument(1, before), NewDocument(2, after)
		patch, err := NewPatch(base, next)
		if err != nil {
			t.Fatal(err)
		}
		patched, err := patch.Apply(base)
		if err != nil || string(patched.Bytes()) != string(after) {
			t.Fatalf("the patch from %q to %q gave %+v, error %v", before, after, patched, err)
		}
	})
}

func TestIndexLookupsAndRepeatable(t *testing.T) {
	is := is.New(t)
	x := NewIndex(validTable())
	is.True(x.RequiresKeys())
	is.Equal(x.Workspace("k2").ID, fleet.WorkspaceID("choir"))
	is.True(x.Workspace("k9") == nil)
	is.True(x.Pool("language") != nil)
	is.True(x.Pool("gone") == nil)

	cases := map[string]struct {
		route      Route
		repeatable bool
	}{
		"once":             {Route{Kind: KindOnce}, false},
		"idempotent":       {Route{Kind: KindIdempotent}, true},
		"stream":           {Route{Kind: KindStream}, false},
		"resumable stream": {Route{Kind: KindStream, Resumable: true}, true},
		"once, resumable":  {Route{Kind: KindOnce, Resumable: true}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(tc.route.Repeatable(), tc.repeatable) })
	}
}
