package consensus

import (
	"errors"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
)

var errCrashed = errors.New("simulated crash")

// memDisk is an in-memory data directory that loses unsynced writes on a crash.
type memDisk struct {
	rng     *rand.Rand
	nextID  uint64
	live    map[string]*memFile
	durable map[string]*memFile
	pending []func(map[string]*memFile) // unsynced creations, renames and removals
	// crashIn is the number of operations until the next crash; 0 means none, and a
	// negative value that the crash has happened.
	crashIn int
	full    bool // no space is left: writes fail, and so does half of what else changes the disk
	// unsyncedNames makes a failed SyncDir leave names that later ones don't make durable, until they
	// are changed again; unsynced are these.
	unsyncedNames bool
	unsynced      map[string]bool
	fullIn        int // number of operations until the disk is full; 0 means that it doesn't become full
}

type memFile struct {
	id     uint64
	data   []byte
	synced int // bytes that survive a crash
	// syncFailed is set once a failed sync has left bytes unsynced: later ones succeed and don't
	// cover them.
	syncFailed bool
}

func newMemDisk(rng *rand.Rand) *memDisk {
	return &memDisk{rng: rng, nextID: rng.Uint64(), live: map[string]*memFile{}, durable: map[string]*memFile{}, unsynced: map[string]bool{}}
}

// countOp counts one operation and returns errCrashed from the crash on.
func (d *memDisk) countOp() error {
	if d.crashIn > 0 {
		if d.crashIn--; d.crashIn == 0 {
			d.crashIn = -1
		}
	}
	if d.crashIn < 0 {
		return errCrashed
	}
	return nil
}

// countChange counts one operation that may need space, and returns ENOSPC for some while the
// disk is full.
func (d *memDisk) countChange() error {
	if d.fullIn > 0 {
		d.fullIn--
		d.full = d.full || d.fullIn == 0
	}
	if d.full && d.rng.IntN(2) == 0 {
		return syscall.ENOSPC
	}
	return d.countOp()
}

// setFull makes the disk full, or gives it room again.
func (d *memDisk) setFull(full bool) { d.full, d.fullIn = full, 0 }

// changeDir applies f, which creates, renames or removes a file. The change is durable
// once SyncDir is called.
func (d *memDisk) changeDir(f func(map[string]*memFile)) {
	f(d.live)
	d.pending = append(d.pending, f)
}

// crash discards a random part of the unsynced creations, renames, removals and
// bytes: the latest ones, or each one independently of the others.
func (d *memDisk) crash() {
	kept := d.rng.IntN(len(d.pending) + 1)
	independent := d.rng.IntN(2) == 0
	for i, f := range d.pending {
		if independent && d.rng.IntN(2) == 0 || !independent && i < kept {
			f(d.durable)
		}
	}
	d.pending, d.crashIn = nil, 0
	d.live = maps.Clone(d.durable)
	for _, name := range slices.Sorted(maps.Keys(d.live)) {
		d.tear(d.live[name])
	}
}

// tear truncates or zeroes a random part of the unsynced bytes of f.
func (d *memDisk) tear(f *memFile) {
	unsynced := len(f.data) - f.synced
	if unsynced > 0 {
		f.data = slices.Clone(f.data[:f.synced+d.rng.IntN(unsynced+1)])
		if d.rng.IntN(2) == 0 { // blocks that were allocated but not written
			clear(f.data[f.synced+d.rng.IntN(len(f.data)-f.synced+1):])
		}
	}
	f.synced, f.syncFailed = len(f.data), false
}

func (d *memDisk) Create(name string) (File, error) {
	if err := d.countChange(); err != nil {
		return nil, err
	}
	d.nextID++
	f := &memFile{id: d.nextID}
	d.changeDir(func(m map[string]*memFile) { m[name] = f })
	delete(d.unsynced, name)
	return &memHandle{d, f}, nil
}

func (d *memDisk) Append(name string) (File, error) {
	if f := d.live[name]; f != nil {
		return &memHandle{d, f}, d.countOp()
	}
	return nil, os.ErrNotExist
}

func (d *memDisk) ReadFile(name string) ([]byte, error) {
	if f := d.live[name]; f != nil {
		return slices.Clone(f.data), d.countOp()
	}
	return nil, os.ErrNotExist
}

func (d *memDisk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.live)), d.countOp() }

func (d *memDisk) Rename(from, to string) error {
	f := d.live[from]
	if f == nil {
		return os.ErrNotExist
	}
	if d.full && d.rng.IntN(2) == 0 {
		return syscall.ENOSPC
	}
	d.changeDir(func(m map[string]*memFile) {
		delete(m, from)
		m[to] = f
	})
	delete(d.unsynced, to)
	return d.countOp()
}

func (d *memDisk) Remove(name string) error {
	if d.live[name] == nil {
		return os.ErrNotExist
	}
	d.changeDir(func(m map[string]*memFile) { delete(m, name) })
	delete(d.unsynced, name)
	return d.countOp()
}

func (d *memDisk) SyncDir() error {
	if err := d.countChange(); err != nil {
		if d.unsyncedNames && errors.Is(err, syscall.ENOSPC) {
			for name, f := range d.live {
				if d.durable[name] != f {
					d.unsynced[name] = true
				}
			}
		}
		return err
	}
	former := d.durable
	d.durable, d.pending = maps.Clone(d.live), nil
	for name := range d.unsynced {
		if delete(d.durable, name); former[name] != nil {
			d.durable[name] = former[name]
		}
	}
	return nil
}

func (d *memDisk) FileID(name string) (uint64, error) {
	if f := d.live[name]; f != nil {
		return f.id, nil
	}
	return 0, os.ErrNotExist
}

func (d *memDisk) Close() error { return nil }

type memHandle struct {
	disk *memDisk
	file *memFile
}

func (h *memHandle) Write(b []byte) (int, error) {
	if h.disk.full {
		n := h.disk.rng.IntN(len(b))
		h.file.data = append(h.file.data, b[:n]...)
		return n, syscall.ENOSPC
	}
	h.file.data = append(h.file.data, b...)
	return len(b), h.disk.countOp()
}

func (h *memHandle) Sync() error {
	if err := h.disk.countChange(); err != nil {
		h.file.syncFailed = h.file.syncFailed || errors.Is(err, syscall.ENOSPC) && h.file.synced < len(h.file.data)
		return err
	}
	if h.file.syncFailed {
		return nil
	}
	h.file.synced = len(h.file.data)
	return nil
}

func (h *memHandle) Truncate(size int64) error {
	h.file.data = h.file.data[:size]
	h.file.syncFailed = h.file.syncFailed && int(size) > h.file.synced
	h.file.synced = min(h.file.synced, int(size))
	return h.disk.countOp()
}

func (h *memHandle) Close() error { return nil }
