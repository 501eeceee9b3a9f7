package agent

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"github.com/wigeonflow/wigeonflow/internal/consensus"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// storageRetryInterval is the time between two test writes to a data directory that is not
	// writable.
	storageRetryInterval = 500 * time.Millisecond
	// testWriteBytes is the size of a test write. It is larger than a record of the log, so that
	// the restarted process has room to append.
	testWriteBytes = 64 << 10
	testWriteFile  = "space.tmp"
)

// AwaitStorage waits until the data directory is writable again or ctx ends, if cause is a
// storage failure: a process that is restarted earlier would only fail again. It reports
// whether cause was a storage failure.
func AwaitStorage(ctx context.Context, dir string, cause error, log hclog.Logger) bool {
	if !isStorageFailure(cause) || dir == "" {
		return false
	}
	log.Warn("storage failed; waiting until the data directory is writable again", "folder", dir, "error", cause)
	for fleet.Pause(ctx, storageRetryInterval) {
		if err := testWrite(dir); err == nil {
			log.Info("data directory is writable again", "folder", dir)
			break
		}
	}
	return true
}

// isStorageFailure reports whether err or one of its causes is a consensus.ErrStorage.
func isStorageFailure(err error) bool {
	for err != nil {
		if errorx.IsOfType(err, consensus.ErrStorage) {
			return true
		}
		err = unwrapCause(err)
	}
	return false
}

// unwrapCause returns the cause of err, or the last one if err wraps several, or nil. Errors
// with step and peer wrap several.
func unwrapCause(err error) error {
	if list, ok := err.(interface{ Unwrap() []error }); ok {
		causes := list.Unwrap()
		if len(causes) > 0 {
			return causes[len(causes)-1]
		}
		return nil
	}
	if one, ok := err.(interface{ Unwrap() error }); ok {
		return one.Unwrap()
	}
	return nil
}

// testWrite writes, syncs and removes a file in dir.
func testWrite(dir string) (err error) {
	path := filepath.Join(dir, testWriteFile)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return fleet.At(err, "agent.storage", path)
	}
	defer func() {
		closed := f.Close()
		if removed := os.Remove(path); err == nil {
			err = removed
		}
		if err == nil {
			err = closed
		}
	}()
	if _, err := f.Write(make([]byte, testWriteBytes)); err != nil {
		return fleet.At(err, "agent.storage", path)
	}
	return fleet.At(f.Sync(), "agent.storage", path)
}
