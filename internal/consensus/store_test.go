package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func testRand() *rand.Rand { return rand.New(rand.NewPCG(7, 7)) }

func entriesFrom(first, last, term uint64) []Entry {
	var entries []Entry
	for i := first; i <= last; i++ {
		entries = append(entries, Entry{Index: i, Term: term, Data: fmt.Append(nil, "entry ", i)})
	}
	return entries
}

func openTestStore(d Disk) (*store, State, error) { return openStore(d, "group", "a", testRand()) }

// newDiskWithLog returns a disk with a log of five records, and the name of the log file.
func newDiskWithLog(t *testing.T) (*memDisk, string) {
	is := is.New(t)
	d := newMemDisk(testRand())
	s, _, err := openTestStore(d)
	is.NoErr(err)
	for i := range uint64(4) {
		is.NoErr(s.Save(&HardState{Term: i + 1}, entriesFrom(i*10+1, i*10+10, i+1)))
	}
	return d, s.logName
}

func TestStoreTruncatesATornLastRecord(t *testing.T) {
	d, name := newDiskWithLog(t)
	complete := d.live[name].data
	before := lastFrameOffset(complete)
	for size := before; size < len(complete); size++ {
		for _, rest := range []int{0, len(complete) - size} { // missing, or allocated but not written
			is := is.New(t)
			d.live[name] = &memFile{data: append(slices.Clone(complete[:size]), make([]byte, rest)...)}
			s, st, err := openTestStore(d)
			is.NoErr(err)
			is.Equal(len(st.Entries), 30)
			is.Equal(st.Hard.Term, uint64(3))
			is.NoErr(s.Save(&HardState{Term: 9}, entriesFrom(31, 31, 9)))
			_, st, err = openTestStore(d)
			is.NoErr(err)
			is.Equal(len(st.Entries), 31)
		}
	}
}

// lastFrameOffset returns the offset of the last frame of the log that newDiskWithLog made.
func lastFrameOffset(b []byte) int {
	offset, last := 0, 0
	for offset < len(b) {
		last = offset
		length := 0
		for _, x := range b[offset+4 : offset+12] {
			length = length<<8 | int(x)
		}
		offset += frameHeader + length
	}
	return last
}

func TestStoreRejectsCorruptionBeforeTheLastRecord(t *testing.T) {
	d, name := newDiskWithLog(t)
	complete := d.live[name].data
	for i := range lastFrameOffset(complete) {
		is := is.New(t)
		b := slices.Clone(complete)
		b[i] ^= 0x10
		d.live[name] = &memFile{data: b}
		_, _, err := openTestStore(d)
		var corrupt *CorruptError
		is.True(errors.As(err, &corrupt)) // a flipped bit before the last record
		is.Equal(corrupt.File, name)
		is.True(corrupt.Offset <= int64(i) && int64(i) < corrupt.Offset+2000)
	}
}

// TestStoreKeepsSyncedDataAfterACrashAtEachOperation crashes a store at each disk
// operation of writeHistory: entries, a snapshot of its own and an installed one.
func TestStoreKeepsSyncedDataAfterACrashAtEachOperation(t *testing.T) {
	finished := false
	for crashAt := 1; !finished; crashAt++ {
		for seed := range uint64(20) {
			is := is.New(t)
			d := newMemDisk(rand.New(rand.NewPCG(seed, uint64(crashAt))))
			d.crashIn = crashAt
			term, last, err := writeHistory(d)
			finished = err == nil
			d.crash()
			s, st, err := openTestStore(d)
			is.NoErr(err)
			is.True(st.Hard.Term >= term)
			got := st.Base + uint64(len(st.Entries))
			is.True(got >= last)
			is.True(st.Snapshot.Index >= st.Base)
			is.NoErr(s.Save(nil, entriesFrom(got+1, got+1, 99)))
			_, st, err = openTestStore(d)
			is.NoErr(err)
			is.Equal(st.Base+uint64(len(st.Entries)), got+1)
		}
	}
}

// TestStoreSyncsUnsyncedRecordsOfAKilledProcess checks that records that a restarted
// process has read are durable, even if the previous process was killed between
// writing and syncing them.
func TestStoreSyncsUnsyncedRecordsOfAKilledProcess(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		d := newMemDisk(rand.New(rand.NewPCG(seed, 0)))
		s, _, err := openTestStore(d)
		is.NoErr(err)
		s.noSync = true // killed before the sync
		is.NoErr(s.Save(&HardState{Term: 2}, entriesFrom(1, 9, 2)))
		_, read, err := openTestStore(d)
		is.NoErr(err)
		d.crash()
		_, kept, err := openTestStore(d)
		is.NoErr(err)
		is.Equal(kept.Hard, read.Hard)
		is.Equal(len(kept.Entries), len(read.Entries))
	}
}

// writeHistory writes entries and snapshots, and returns the last term and index that
// were saved without error.
func writeHistory(d *memDisk) (term, last uint64, err error) {
	s, _, err := openTestStore(d)
	if err != nil {
		return 0, 0, err
	}
	for i := range uint64(3) {
		if err := s.Save(&HardState{Term: i + 1}, entriesFrom(i*5+1, i*5+5, i+1)); err != nil {
			return term, last, err
		}
		term, last = i+1, i*5+5
	}
	own := State{Hard: HardState{Term: 3}, Base: 8, BaseTerm: 2, Entries: append(entriesFrom(9, 10, 2), entriesFrom(11, 15, 3)...)}
	if err := s.SaveSnapshot(Snapshot{Index: 10, Term: 2}, own); err != nil {
		return term, last, err
	}
	installed := State{Hard: HardState{Term: 4}, Base: 40, BaseTerm: 4}
	if err := s.SaveSnapshot(Snapshot{Index: 40, Term: 4}, installed); err != nil {
		return term, last, err
	}
	term, last = 4, 40
	if err := s.Save(nil, entriesFrom(41, 42, 4)); err != nil {
		return term, last, err
	}
	return term, 42, nil
}

// A data directory whose clearing was interrupted was rejected as corrupt or foreign at each
// start, or passed for an empty log of the same store.
func TestInterruptedClearingOfDataDir(t *testing.T) {
	finished := false
	for crashAt := 1; !finished; crashAt++ {
		for seed := range uint64(40) {
			is := is.New(t)
			d := newMemDisk(rand.New(rand.NewPCG(seed, uint64(crashAt))))
			_, last, err := writeHistory(d)
			is.NoErr(err)
			before, _, err := openTestStore(d)
			is.NoErr(err)
			d.crashIn = crashAt
			finished = clearDisk(d) == nil
			if d.crashIn = 0; seed%2 == 0 {
				d.crash() // otherwise the process was killed
			}
			s, st, err := openStore(d, "group", "a", rand.New(rand.NewPCG(seed, 0)))
			is.NoErr(err)
			if got := st.Base + uint64(len(st.Entries)); got != last {
				is.Equal(got, uint64(0))
				is.True(s.id != before.id)
			}
		}
	}
}

func TestStoreRejectsForeignDataDirs(t *testing.T) {
	cases := []struct {
		name  string
		alter func(*memDisk)
		group string
		id    MemberID
	}{
		{"another group's data directory", func(*memDisk) {}, "other", "a"},
		{"another member's data directory", func(*memDisk) {}, "group", "b"},
		{"a copied data directory", func(d *memDisk) { d.live[identityFile].id++ }, "group", "a"},
		{"a log without an identity", func(d *memDisk) { delete(d.live, identityFile) }, "group", "a"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			d, _ := newDiskWithLog(t)
			tc.alter(d)
			_, _, err := openStore(d, tc.group, tc.id, testRand())
			var foreign *ForeignStoreError
			is.True(errors.As(err, &foreign))
		})
	}
}

func TestDataDirIsLockedAndItsCopiesAreRejected(t *testing.T) {
	is := is.New(t)
	path, copied := filepath.Join(t.TempDir(), "data"), filepath.Join(t.TempDir(), "copy")
	d, err := OpenDir(path)
	is.NoErr(err)
	_, err = OpenDir(path)
	is.True(err != nil) // locked
	s, _, err := openTestStore(d)
	is.NoErr(err)
	is.NoErr(s.Save(&HardState{Term: 3}, entriesFrom(1, 3, 3)))
	is.NoErr(s.Close())

	is.NoErr(os.CopyFS(copied, os.DirFS(path)))
	d, err = OpenDir(copied)
	is.NoErr(err)
	_, _, err = openTestStore(d)
	var foreign *ForeignStoreError
	is.True(errors.As(err, &foreign))
	is.NoErr(d.Close())

	d, err = OpenDir(path)
	is.NoErr(err)
	s, st, err := openTestStore(d)
	is.NoErr(err)
	is.Equal(len(st.Entries), 3)
	is.NoErr(s.Close())
}
