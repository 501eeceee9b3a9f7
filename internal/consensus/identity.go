package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
)

// openIdentity reads the identity of the data directory, or writes one into an empty
// directory and returns true. A directory that has a log or a snapshot but no
// identity is rejected.
func openIdentity(disk Disk, group string, id MemberID, rng *rand.Rand) (identity, bool, error) {
	b, err := disk.ReadFile(identityFile)
	if errors.Is(err, os.ErrNotExist) {
		return formatDir(disk, group, id, rng)
	}
	if err != nil {
		return identity{}, false, storageError(err, "read", identityFile)
	}
	var ident identity
	payload, ok := parseFrame(b, 0, 0)
	if !ok {
		return ident, false, &CorruptError{File: identityFile, Reason: "the checksum doesn't match"}
	}
	if _, err := ident.UnmarshalMsg(payload); err != nil {
		return ident, false, &CorruptError{File: identityFile, Reason: err.Error()}
	}
	fileID, err := disk.FileID(identityFile)
	if err != nil {
		return ident, false, storageError(err, "stat", identityFile)
	}
	return ident, false, ident.checkMatches(group, id, fileID)
}

// checkMatches returns a *ForeignStoreError if the data directory belongs to another group or
// member, or is a copy of another directory.
func (ident identity) checkMatches(group string, id MemberID, fileID uint64) error {
	switch {
	case ident.Group != group:
		return &ForeignStoreError{Field: "group", Want: group, Found: ident.Group}
	case ident.Member != id:
		return &ForeignStoreError{Field: "member", Want: string(id), Found: string(ident.Member)}
	case ident.FileID != fileID:
		return &ForeignStoreError{
			Field: "inode number (the directory is a copy)",
			Want:  fmt.Sprint(fileID), Found: fmt.Sprint(ident.FileID),
		}
	}
	return nil
}

func formatDir(disk Disk, group string, id MemberID, rng *rand.Rand) (identity, bool, error) {
	names, err := disk.List()
	if err != nil {
		return identity{}, false, storageError(err, "list", "data directory")
	}
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) || strings.HasPrefix(name, logPrefix) {
			return identity{}, false, &ForeignStoreError{Field: "identity", Want: identityFile, Found: "missing"}
		}
	}
	ident := identity{Group: group, Member: id, Store: StoreID(rng.Uint64() | 1)}
	return ident, true, writeIdentity(disk, ident)
}

// writeIdentity creates the file before it encodes the identity, which includes the
// file's number.
func writeIdentity(disk Disk, ident identity) error {
	temp := identityFile + tempSuffix
	f, err := disk.Create(temp)
	if err != nil {
		return storageError(err, "create", temp)
	}
	defer f.Close()
	if ident.FileID, err = disk.FileID(temp); err != nil {
		return storageError(err, "stat", temp)
	}
	payload, err := ident.MarshalMsg(nil)
	if err != nil {
		return storageError(err, "encode", temp)
	}
	if err := writeSynced(f, appendFrame(nil, 0, 0, payload)); err != nil {
		return storageError(err, "write", temp)
	}
	return renameDurably(disk, temp, identityFile)
}
