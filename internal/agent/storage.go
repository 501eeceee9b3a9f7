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
	// storagePoll spaces the trials of a data folder that takes no writes.
	storagePoll = 500 * time.Millisecond
	// trialBytes is the size of a trial: more than one record of the log, so that the
	// restarted process can go on.
	trialBytes = 64 << 10
	trialFile  = "space.tmp"
)

// AwaitStorage waits after a failure of the data folder until it takes writes again
// or ctx ends: a process that is restarted before that only fails again. Other
// failures it passes over. It tells whether it waited.
func AwaitStorage(ctx context.Context, dir string, cause error, log hclog.Logger) bool {
	if !isStorage(cause) || dir == "" {
		return false
	}
	log.Warn("data folder fails; waiting until it takes writes again", "folder", dir, "error", cause)
	for fleet.Pause(ctx, storagePoll) {
		if err := tryWrite(dir); err == nil {
			log.Info("data folder takes writes again", "folder", dir)
			break
		}
	}
	return true
}

func isStorage(err error) bool {
	for err != nil {
		if errorx.IsOfType(err, consensus.ErrStorage) {
			return true
		}
		err = unwrapped(err)
	}
	return false
}

// unwrapped returns the cause of an error that names step and peer, or nil.
func unwrapped(err error) error {
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

// tryWrite writes, syncs and removes a file.
func tryWrite(dir string) (err error) {
	path := filepath.Join(dir, trialFile)
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
	if _, err := f.Write(make([]byte, trialBytes)); err != nil {
		return fleet.At(err, "agent.storage", path)
	}
	return fleet.At(f.Sync(), "agent.storage", path)
}
