package consensus

import (
	"cmp"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// Disk is one data folder. What is written to a file lasts once the file is
// synced; a file that was created, renamed or removed lasts as such once the
// folder is synced.
type Disk interface {
	// Create opens a new or emptied file for writing.
	Create(name string) (File, error)
	// Append opens an existing file to write at its end.
	Append(name string) (File, error)
	// ReadFile returns a whole file; the error is os.ErrNotExist without one.
	ReadFile(name string) ([]byte, error)
	// List returns the names of the files.
	List() ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes the names of the files last.
	SyncFolder() error
	// FileID returns a number that the file keeps when it is renamed and that a
	// copy of it doesn't have.
	FileID(name string) (uint64, error)
	// Close gives the folder free for another process.
	Close() error
}

// File is one open file of a Disk.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

const (
	lockFile   = "lock"
	filePerm   = 0o600
	folderPerm = 0o700
)

// folder is a Disk in a directory of the operating system.
type folder struct {
	path string
	lock *os.File
}

// OpenFolder makes and locks the directory at path. It fails when another process
// holds the lock.
func OpenFolder(path string) (Disk, error) {
	if err := os.MkdirAll(path, folderPerm); err != nil {
		return nil, err
	}
	if err := syncFolder(filepath.Dir(path)); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, ErrStorage.Wrap(err, "another process uses %s", path)
	}
	return &folder{path: path, lock: lock}, nil
}

func (f *folder) file(name string) string { return filepath.Join(f.path, name) }

func (f *folder) Create(name string) (File, error) {
	return os.OpenFile(f.file(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, filePerm)
}

func (f *folder) Append(name string) (File, error) {
	return os.OpenFile(f.file(name), os.O_WRONLY|os.O_APPEND, filePerm)
}

func (f *folder) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.file(name)) }

func (f *folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Name() != lockFile {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

func (f *folder) Rename(from, to string) error { return os.Rename(f.file(from), f.file(to)) }
func (f *folder) Remove(name string) error     { return os.Remove(f.file(name)) }
func (f *folder) SyncFolder() error            { return syncFolder(f.path) }
func (f *folder) Close() error                 { return f.lock.Close() }

// FileID returns the inode number, which a copy of the file doesn't share.
func (f *folder) FileID(name string) (uint64, error) {
	var st syscall.Stat_t
	if err := syscall.Stat(f.file(name), &st); err != nil {
		return 0, err
	}
	return st.Ino, nil
}

// ClearFolder removes everything that a stopped member left in its data folder.
// The identity goes last: a folder that holds a log without it is refused.
func ClearFolder(path string) error {
	disk, err := OpenFolder(path)
	if err != nil {
		return storageError(err, "open", path)
	}
	defer disk.Close()
	names, err := disk.List()
	if err != nil {
		return storageError(err, "list", path)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(identityRank(a), identityRank(b)) })
	for _, name := range names {
		if err := disk.Remove(name); err != nil {
			return storageError(err, "remove", name)
		}
	}
	return storageError(disk.SyncFolder(), "sync", path)
}

func identityRank(name string) int {
	if name == identityFile {
		return 1
	}
	return 0
}

// renumbered is a Disk whose files have no lasting numbers.
type renumbered struct{ Disk }

// FileID implements Disk.
func (renumbered) FileID(string) (uint64, error) { return 0, nil }

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
