package agent

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/consensus"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

func TestAwaitStorage(t *testing.T) {
	full := fleet.At(consensus.ErrStorage.Wrap(errors.New("no space left on device"), "write log"), "control.start", "folder")
	t.Run("another failure", func(t *testing.T) {
		is.New(t).True(!AwaitStorage(context.Background(), t.TempDir(), errors.New("address in use"), hclog.NewNullLogger()))
	})
	t.Run("until it is writable again", func(t *testing.T) {
		is := is.New(t)
		dir := filepath.Join(t.TempDir(), "data") // does not exist, so no write succeeds
		waited := make(chan bool)
		go func() { waited <- AwaitStorage(context.Background(), dir, full, hclog.NewNullLogger()) }()
		select {
		case <-waited:
			t.Fatal("AwaitStorage returned while the directory was not writable")
		case <-time.After(2 * storageRetryInterval):
		}
		is.NoErr(os.MkdirAll(dir, 0o700))
		is.True(<-waited)
		left, err := os.ReadDir(dir)
		is.NoErr(err)
		is.Equal(len(left), 0) // the test write leaves no file
	})
	t.Run("until the process must stop", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		is.New(t).True(AwaitStorage(ctx, filepath.Join(t.TempDir(), "none"), full, hclog.NewNullLogger()))
	})
}
