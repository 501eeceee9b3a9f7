package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

const (
	identityFile   = "store"
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
)

// store keeps the log, the hard state and the newest snapshot in a data directory.
// A change is durable once the method returns without error. After an error the
// store must not be used: what a failed sync left on disk is unknown. The data directory is
// opened anew instead.
type store struct {
	disk    Disk
	id      StoreID
	log     File
	logName string
	logSize int64 // bytes of the log file that are synced
	// suspect is set if a failed sync may have left records or names that can be read, but
	// that no later sync writes to the disk.
	suspect  bool
	number   uint64 // of the log file; the file with the highest number is current
	seq      uint64 // of the next frame
	snapshot string // name of the newest snapshot file, empty if there is none
	noSync   bool   // test only: records are not synced
	syncs    uint64 // number of synced records, for the metrics
	buf      []byte // of the last frame, reused
}

// openStore opens a data directory. It formats an empty one with a random store ID.
func openStore(disk Disk, group string, id MemberID, rng *rand.Rand) (*store, State, error) {
	return reopenStore(disk, group, id, rng, false)
}

// reopenStore is like openStore. With rewrite set it writes the newest snapshot and the log anew
// before it removes any file, since the present ones may be readable and not on disk.
func reopenStore(disk Disk, group string, id MemberID, rng *rand.Rand, rewrite bool) (*store, State, error) {
	if err := completeClearing(disk); err != nil {
		return nil, State{}, err
	}
	ident, fresh, err := openIdentity(disk, group, id, rng)
	if err != nil {
		return nil, State{}, err
	}
	s := &store{disk: disk, id: ident.Store}
	var st State
	if fresh {
		err = s.startLog(logRecord{Start: &logStart{}})
	} else {
		st, err = s.load(rewrite)
	}
	if err != nil {
		s.closeLog()
		return nil, State{}, err
	}
	return s, st, nil
}

func writeSynced(f File, b []byte) error {
	if _, err := f.Write(b); err != nil {
		return err
	}
	return f.Sync()
}

// renameDurably renames a synced temporary file and syncs the directory.
func renameDurably(disk Disk, temp, name string) error {
	if err := disk.Rename(temp, name); err != nil {
		return storageError(err, "rename", temp)
	}
	return storageError(disk.SyncDir(), "sync the directory of", name)
}

// storageError wraps an error of an operation on the file or directory name.
func storageError(err error, operation, name string) error {
	if err == nil {
		return nil
	}
	return ErrStorage.Wrap(err, "%s %s", operation, name)
}

// load reads the newest snapshot and the newest log file, truncates a torn last
// record and removes files that a crash left behind.
func (s *store) load(rewrite bool) (State, error) {
	names, err := s.disk.List()
	if err != nil {
		return State{}, storageError(err, "list", "data directory")
	}
	slices.Sort(names)
	var st State
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && !strings.HasSuffix(name, tempSuffix) {
			s.snapshot = name
		}
		if strings.HasPrefix(name, logPrefix) && !strings.HasSuffix(name, tempSuffix) {
			s.logName = name
		}
	}
	if s.snapshot != "" {
		if st.Snapshot, err = s.readSnapshot(); err != nil {
			return State{}, err
		}
		if rewrite {
			if err := s.writeSnapshot(s.snapshot, st.Snapshot); err != nil {
				return State{}, err
			}
		}
		st.Snapshot.Data = nil
	}
	if err := s.loadLog(&st); err != nil {
		return State{}, err
	}
	if rewrite {
		if err := s.startLog(firstRecord(st)); err != nil {
			return State{}, err
		}
	}
	return st, s.removeOld()
}

func (s *store) loadLog(st *State) error {
	if s.logName == "" { // the process stopped after formatting, before it wrote the first log file
		if s.snapshot != "" {
			return &CorruptError{File: logPrefix + "*", Reason: "there is a snapshot but no log"}
		}
		return s.startLog(logRecord{Start: &logStart{}})
	}
	if _, err := fmt.Sscanf(s.logName, logPrefix+"%x", &s.number); err != nil {
		return &CorruptError{File: s.logName, Reason: "the name has no valid log file number"}
	}
	b, err := s.disk.ReadFile(s.logName)
	if err != nil {
		return storageError(err, "read", s.logName)
	}
	payloads, validSize, err := readFrames(s.logName, b, s.id)
	if err != nil {
		return err
	}
	outdated, err := replayLog(s.logName, payloads, st)
	if err != nil {
		return err
	}
	s.seq = uint64(len(payloads))
	if err := s.reopenLog(validSize, int64(len(b))); err != nil || !outdated {
		return err
	}
	return s.startLog(firstRecord(*st))
}

// firstRecord returns the first record of a log file with this state.
func firstRecord(st State) logRecord {
	start := &logStart{Base: st.Base, BaseTerm: st.BaseTerm}
	return logRecord{Start: start, Hard: &st.Hard, Entries: st.Entries}
}

// replayLog applies the records of a log file in order. The file is outdated if a
// snapshot was installed and the process stopped before it replaced the file: entries
// after the snapshot can't be appended to it.
func replayLog(name string, payloads [][]byte, st *State) (outdated bool, err error) {
	l := entryLog{}
	for i, payload := range payloads {
		var r logRecord
		if _, err := r.UnmarshalMsg(payload); err != nil {
			return false, &CorruptError{File: name, Reason: fmt.Sprintf("record %d: %v", i, err)}
		}
		if r.Start != nil {
			l = entryLog{base: r.Start.Base, baseTerm: r.Start.BaseTerm}
		}
		if r.Hard != nil {
			st.Hard = *r.Hard
		}
		if len(r.Entries) > 0 {
			first := r.Entries[0].Index
			if first <= l.base || first > l.last()+1 {
				return false, &CorruptError{File: name, Reason: fmt.Sprintf("record %d: entry %d doesn't continue the log, which ends at entry %d", i, first, l.last())}
			}
			l.truncate(first)
			l.append(r.Entries...)
		}
	}
	if len(payloads) == 0 {
		return false, &CorruptError{File: name, Reason: "the first record is missing"}
	}
	if st.Snapshot.Index > l.base && !l.matches(st.Snapshot.Index, st.Snapshot.Term) {
		outdated = true
		l.restore(st.Snapshot.Index, st.Snapshot.Term)
	}
	if l.base > st.Snapshot.Index {
		return false, &CorruptError{File: name, Reason: fmt.Sprintf("the log starts after entry %d, but the snapshot ends at entry %d", l.base, st.Snapshot.Index)}
	}
	st.Base, st.BaseTerm, st.Entries = l.base, l.baseTerm, l.entries
	return outdated, nil
}

// reopenLog truncates the log file to its valid prefix and syncs it: a killed process
// may have left records that are readable but not on disk yet, and the member is
// about to act on them.
func (s *store) reopenLog(validSize, size int64) error {
	f, err := s.disk.Append(s.logName)
	if err != nil {
		return storageError(err, "open", s.logName)
	}
	s.log = f
	if validSize != size {
		if err := f.Truncate(validSize); err != nil {
			return storageError(err, "truncate", s.logName)
		}
	}
	if err := f.Sync(); err != nil {
		return storageError(err, "sync", s.logName)
	}
	s.logSize = validSize
	return storageError(s.disk.SyncDir(), "sync the directory of", s.logName)
}

// removeOld removes temporary files and all logs and snapshots but the newest ones.
func (s *store) removeOld() error {
	names, err := s.disk.List() // startLog may have removed one of them
	if err != nil {
		return storageError(err, "list", "data directory")
	}
	for _, name := range names {
		if name == identityFile || name == s.logName || name == s.snapshot {
			continue
		}
		isStoreFile := strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix)
		if !isStoreFile && !strings.HasSuffix(name, tempSuffix) {
			continue
		}
		if err := s.disk.Remove(name); err != nil {
			return storageError(err, "remove", name)
		}
	}
	return nil
}

// Save persists a hard state (nil if unchanged) and entries with one sync.
func (s *store) Save(hard *HardState, entries []Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if err := s.writeRecord(s.log, logRecord{Hard: hard, Entries: entries}); err != nil {
		return err
	}
	s.logSize += int64(len(s.buf))
	return nil
}

func (s *store) writeRecord(f File, r logRecord) error {
	payload, err := r.MarshalMsg(nil)
	if err != nil {
		return storageError(err, "encode", s.logName)
	}
	s.buf = appendFrame(s.buf[:0], s.id, s.seq, payload)
	if _, err := f.Write(s.buf); err != nil {
		return storageError(err, "write", s.logName)
	}
	s.seq++
	if s.noSync {
		return nil
	}
	s.syncs++
	err = f.Sync()
	s.suspect = s.suspect || err != nil
	return storageError(err, "sync", s.logName)
}

// startLog creates a log file with one record, which replaces the current log file.
func (s *store) startLog(first logRecord) error {
	s.number++
	name := fmt.Sprintf("%s%016x", logPrefix, s.number)
	temp := name + tempSuffix
	f, err := s.disk.Create(temp)
	if err != nil {
		return storageError(err, "create", temp)
	}
	s.seq = 0
	err = s.writeRecord(f, first)
	if err == nil {
		err = s.rename(temp, name)
	}
	if err != nil {
		f.Close()
		return err
	}
	former, formerName := s.log, s.logName
	s.log, s.logName, s.logSize = f, name, int64(len(s.buf))
	if former == nil {
		return nil
	}
	former.Close()
	return storageError(s.disk.Remove(formerName), "remove", formerName)
}

// SaveSnapshot persists a snapshot, then a new log file that starts at st.Base. After
// a crash in between, the former log is read with the new snapshot.
func (s *store) SaveSnapshot(snap Snapshot, st State) error {
	former := s.snapshot
	if err := s.addSnapshot(snap); err != nil {
		return err
	}
	return s.startAfterSnapshot(former, st)
}

// addSnapshot writes a snapshot, which is read with the present log from then on. If it returns an
// error and the store is not suspect, nothing has changed and the store can be used.
func (s *store) addSnapshot(snap Snapshot) error {
	name := fmt.Sprintf("%s%016x", snapshotPrefix, snap.Index)
	if err := s.writeSnapshot(name, snap); err != nil {
		_ = s.disk.Remove(name + tempSuffix) // it may not exist
		return err
	}
	s.snapshot = name
	return nil
}

// startAfterSnapshot starts a log file at st.Base and removes the former snapshot.
func (s *store) startAfterSnapshot(former string, st State) error {
	if err := s.startLog(firstRecord(st)); err != nil {
		return err
	}
	if former == "" || former == s.snapshot {
		return nil
	}
	return storageError(s.disk.Remove(former), "remove", former)
}

func (s *store) writeSnapshot(name string, snap Snapshot) error {
	payload, err := snap.MarshalMsg(nil)
	if err != nil {
		return storageError(err, "encode", name)
	}
	temp := name + tempSuffix
	f, err := s.disk.Create(temp)
	if err != nil {
		return storageError(err, "create", temp)
	}
	defer f.Close()
	if err := writeSynced(f, appendFrame(nil, s.id, 0, payload)); err != nil {
		return storageError(err, "write", temp)
	}
	return s.rename(temp, name)
}

// rename renames a synced temporary file. If that fails, the directory may show what a later sync
// doesn't make durable.
func (s *store) rename(temp, name string) error {
	err := renameDurably(s.disk, temp, name)
	s.suspect = s.suspect || err != nil
	return err
}

// readSnapshot returns the newest snapshot with its data.
func (s *store) readSnapshot() (Snapshot, error) {
	var snap Snapshot
	if s.snapshot == "" {
		return snap, ErrInvariant.New("a snapshot was requested, but there is none on disk")
	}
	b, err := s.disk.ReadFile(s.snapshot)
	if err != nil {
		return snap, storageError(err, "read", s.snapshot)
	}
	payload, ok := parseFrame(b, s.id, 0)
	if !ok {
		return snap, &CorruptError{File: s.snapshot, Reason: "the checksum doesn't match"}
	}
	if _, err := snap.UnmarshalMsg(payload); err != nil {
		return snap, &CorruptError{File: s.snapshot, Reason: err.Error()}
	}
	return snap, nil
}

// discardUnsynced drops the records of the log file that no sync has covered, and closes it. After
// a failed sync they can be read, but may never reach the disk, and a process that is started
// meanwhile must not act on them. The store must not be used any more.
func (s *store) discardUnsynced() {
	if s.log != nil && s.log.Truncate(s.logSize) != nil {
		s.suspect = true
	}
	s.closeLog()
}

func (s *store) closeLog() {
	if s.log != nil {
		s.log.Close()
		s.log = nil
	}
}

// Close releases the files.
func (s *store) Close() error {
	s.closeLog()
	return s.disk.Close()
}
