package consensus

import (
	"io"
	"os"
	"path/filepath"
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

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
