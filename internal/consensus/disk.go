package consensus

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// Disk is one data directory. Writes to a file are durable once the file is synced;
// creating, renaming and removing a file are durable once the directory is synced.
type Disk interface {
	// Create creates or truncates a file and opens it for writing.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	// ReadFile returns a file's contents, or os.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// List returns the names of the files.
	List() ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes created, renamed and removed files durable.
	SyncDir() error
	// FileID returns a number that a file keeps when it is renamed and that a copy
	// of the file doesn't share.
	FileID(name string) (uint64, error)
	// Close releases the lock on the directory.
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
	lockFile = "lock"
	// clearingFile marks a directory that is being cleared.
	clearingFile = "clearing"
	filePerm     = 0o600
	dirPerm      = 0o700
)

// dirDisk is a Disk in a directory of the file system.
type dirDisk struct {
	path string
	lock *os.File
}

// OpenDir creates the directory at path if it is missing and locks it. It fails if
// another process holds the lock.
func OpenDir(path string) (Disk, error) {
	if err := os.MkdirAll(path, dirPerm); err != nil {
		return nil, err
	}
	if err := syncDir(filepath.Dir(path)); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, ErrStorage.Wrap(err, "lock data directory %s: another process holds the lock", path)
	}
	return &dirDisk{path: path, lock: lock}, nil
}

// lateDisk is a Disk that opens its data directory with the first List that succeeds. Nothing else
// may be called before.
type lateDisk struct {
	Disk // nil until then
	open func() (Disk, error)
}

// openDirLater opens a data directory. If there is no space to create it, the returned Disk opens
// it later.
func openDirLater(path string, open func(path string) (Disk, error)) (Disk, error) {
	disk, err := open(path)
	if isNoSpace(err) {
		return &lateDisk{open: func() (Disk, error) { return open(path) }}, nil
	}
	return disk, err
}

// List implements Disk.
func (d *lateDisk) List() ([]string, error) {
	if d.Disk == nil {
		disk, err := d.open()
		if err != nil {
			return nil, err
		}
		d.Disk = disk
	}
	return d.Disk.List()
}

// Close implements Disk.
func (d *lateDisk) Close() error {
	if d.Disk == nil {
		return nil
	}
	return d.Disk.Close()
}

func (f *dirDisk) file(name string) string { return filepath.Join(f.path, name) }

func (f *dirDisk) Create(name string) (File, error) {
	return os.OpenFile(f.file(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, filePerm)
}

func (f *dirDisk) Append(name string) (File, error) {
	return os.OpenFile(f.file(name), os.O_WRONLY|os.O_APPEND, filePerm)
}

func (f *dirDisk) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.file(name)) }

func (f *dirDisk) List() ([]string, error) {
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

func (f *dirDisk) Rename(from, to string) error { return os.Rename(f.file(from), f.file(to)) }
func (f *dirDisk) Remove(name string) error     { return os.Remove(f.file(name)) }
func (f *dirDisk) SyncDir() error               { return syncDir(f.path) }
func (f *dirDisk) Close() error                 { return f.lock.Close() }

// FileID returns the inode number, which a copy of the file doesn't share.
func (f *dirDisk) FileID(name string) (uint64, error) {
	var st syscall.Stat_t
	if err := syscall.Stat(f.file(name), &st); err != nil {
		return 0, err
	}
	return st.Ino, nil
}

// ClearDataDir removes all files from the data directory of a stopped member. If it is
// interrupted, the next start of the member completes it.
func ClearDataDir(path string) error {
	disk, err := OpenDir(path)
	if err != nil {
		return storageError(err, "open", path)
	}
	defer disk.Close()
	return clearDisk(disk)
}

// clearDisk removes all files. Removals are durable in any order, and a directory that has
// lost only some files is rejected as corrupt, or passes for a member's empty log. A
// clearing file marks it until all others are durably removed.
func clearDisk(disk Disk) error {
	marker, err := disk.Create(clearingFile)
	if err != nil {
		return storageError(err, "create", clearingFile)
	}
	defer marker.Close()
	if err := marker.Sync(); err != nil {
		return storageError(err, "sync", clearingFile)
	}
	if err := disk.SyncDir(); err != nil {
		return storageError(err, "sync the directory of", clearingFile)
	}
	return completeClearing(disk)
}

// completeClearing removes the files of a directory that has a clearing file, and that file
// last. It does nothing to other directories.
func completeClearing(disk Disk) error {
	names, err := disk.List()
	if err != nil {
		return storageError(err, "list", "data directory")
	}
	if !slices.Contains(names, clearingFile) {
		return nil
	}
	for _, name := range names {
		if name == clearingFile {
			continue
		}
		if err := disk.Remove(name); err != nil {
			return storageError(err, "remove", name)
		}
	}
	if err := disk.SyncDir(); err != nil {
		return storageError(err, "sync", "data directory")
	}
	if err := disk.Remove(clearingFile); err != nil {
		return storageError(err, "remove", clearingFile)
	}
	return storageError(disk.SyncDir(), "sync", "data directory")
}

// unstableFileIDs is a Disk whose inode numbers can change between starts. Its FileID is
// always 0, so that a copy of the directory isn't detected.
type unstableFileIDs struct{ Disk }

// FileID implements Disk.
func (unstableFileIDs) FileID(string) (uint64, error) { return 0, nil }

func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
