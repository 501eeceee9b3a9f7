package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/settings"
	"github.com/wigeonflow/wigeonflow/internal/standin"
	"github.com/wigeonflow/wigeonflow/platform"
)

func checkCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "check", ShortUsage: "wigeonflow check FILE...",
		ShortHelp: "Check settings and lists; plans and allowances in one folder are checked against each other.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageError("check takes files")
			}
			return check(args, stdout, stderr)
		},
	}
}

// Names that tell a list, or a stand-in platform's, from an instance's settings.
const (
	plansPrefix      = "plans"
	allowancesPrefix = "allowances"
	platformPrefix   = "platform"
)

func check(files []string, stdout, stderr io.Writer) error {
	var faults []fmt.Stringer
	pairs := make(map[string][2]string) // folder to its two lists
	for _, file := range files {
		if _, err := os.Stat(file); err != nil {
			return usageError(err.Error())
		}
		folder, base := filepath.Split(file)
		pair := pairs[folder]
		switch {
		case strings.HasPrefix(base, plansPrefix):
			pair[0] = file
		case strings.HasPrefix(base, allowancesPrefix):
			pair[1] = file
		case strings.HasPrefix(base, platformPrefix):
			if _, err := standin.ReadInstances(file); err != nil {
				faults = append(faults, listFault{file, err})
			}
			continue
		default:
			faults = append(faults, stringers(settingsFaults(file))...)
			continue
		}
		pairs[folder] = pair
	}
	for folder, pair := range pairs {
		if pair[0] == "" || pair[1] == "" {
			return usageError(folder + ": give plans and allowances together, they are checked against each other")
		}
		_, found := lists.Load(pair[0], pair[1])
		faults = append(faults, stringers(found)...)
	}
	if err := faultsError(faults, stderr); err != nil {
		return err
	}
	_, err := fmt.Fprintf(stdout, "%d files without a fault\n", len(files))
	return err
}

// settingsFaults returns the faults of an instance's settings, which are the product's own
// or those of the users' platform.
func settingsFaults(file string) []settings.Violation {
	text, err := os.ReadFile(file)
	if err == nil && platform.IsSettings(text) {
		return platform.CheckSettings(file, text)
	}
	_, found := settings.Load(file)
	return found
}

// listFault is a fault of a stand-in platform's list.
type listFault struct {
	file string
	err  error
}

func (f listFault) String() string { return f.file + ": " + f.err.Error() }

func stringers[F fmt.Stringer](faults []F) []fmt.Stringer {
	out := make([]fmt.Stringer, len(faults))
	for i, f := range faults {
		out[i] = f
	}
	return out
}
