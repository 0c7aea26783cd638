// Package commands implements the operators' commands common to both binaries:
// check, explain, status and audit.
package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"arbutusdeck/core/config"
	"arbutusdeck/core/process"
	"arbutusdeck/core/responses"
)

// errConfigRejected is returned for an invalid configuration folder. It has its own
// exit code.
var errConfigRejected = errors.New("the folder was refused")

// errUsage is returned for invalid arguments.
var errUsage = errors.New("wrong use")

// Run runs a command line, prints its error to standard error and returns the exit
// code.
func Run(command *cli.Command, args []string) int {
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := command.Run(context.Background(), args)
	if err == nil {
		return process.ExitOK
	}
	fmt.Fprintln(os.Stderr, err)
	switch {
	case errors.Is(err, errConfigRejected):
		return process.ExitConfigRejected
	case errors.Is(err, errUsage):
		return process.ExitUsage
	}
	return process.ExitCode(err)
}

// OperatorCommands returns the commands.
func OperatorCommands() []*cli.Command {
	return []*cli.Command{checkCommand(), explainCommand(), statusCommand(), auditCommand()}
}

// ReadFolder reads the *.yaml and *.yml files of a folder, without subfolders.
func ReadFolder(folder string) ([]config.File, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("reading the folder: %w", err)
	}
	var files []config.File
	for _, entry := range entries {
		extension := filepath.Ext(entry.Name())
		if entry.IsDir() || (extension != ".yaml" && extension != ".yml") {
			continue
		}
		content, err := os.ReadFile(filepath.Join(folder, entry.Name()))
		if err != nil {
			return nil, fmt.Errorf("reading the folder: %w", err)
		}
		files = append(files, config.File{Name: entry.Name(), Content: content})
	}
	return files, nil
}

func loadFolder(c *cli.Command) (*config.Snapshot, error) {
	if c.Args().Len() != 1 {
		return nil, fmt.Errorf("%w: name one folder", errUsage)
	}
	files, err := ReadFolder(c.Args().First())
	if err != nil {
		return nil, err
	}
	snapshot, err := config.Load(1, files)
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		for _, problem := range invalid.Problems {
			fmt.Fprintln(os.Stderr, problem)
		}
		return nil, fmt.Errorf("%w: %d problem(s)", errConfigRejected, len(invalid.Problems))
	}
	return snapshot, err
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a configuration folder offline; exit code 3 if it would be refused",
		ArgsUsage: "FOLDER",
		Action: func(_ context.Context, c *cli.Command) error {
			snapshot, err := loadFolder(c)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.Root().Writer, "accepted: %d servers, %d halls, %d kinds, %d services, %d workspaces, digest %016x\n",
				len(snapshot.Servers), len(snapshot.Halls), len(snapshot.Kinds), len(snapshot.Services), len(snapshot.Workspaces), snapshot.Digest)
			return err
		},
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the effective settings for a workspace, kind and prompt length, with the file that sets each",
		ArgsUsage: "FOLDER",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "workspace", Required: true, Usage: "the workspace"},
			&cli.StringFlag{Name: "kind", Required: true, Usage: "the request kind"},
			&cli.Int64Flag{Name: "tokens", Value: 1000, Usage: "the prompt's length in tokens"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			snapshot, err := loadFolder(c)
			if err != nil {
				return err
			}
			rows, err := snapshot.Explain(c.String("workspace"), c.String("kind"), c.Int64("tokens"))
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			return printExplanation(c.Root().Writer, rows)
		},
	}
}

func printExplanation(out io.Writer, rows []config.Explanation) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		from := row.Position.String()
		if row.Default {
			from = "default"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\n", row.Path, from, row.Value)
	}
	return table.Flush()
}

func adminFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "admin", Value: "127.0.0.1:7400", Usage: "the daemon's administration address", Sources: cli.EnvVars("ARBUTUS_ADMIN")},
		&cli.StringFlag{Name: "token", Usage: "the administration token", Sources: cli.EnvVars("ARBUTUS_ADMIN_TOKEN")},
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show the status of a running daemon",
		ArgsUsage: "[SECTION]",
		Flags:     adminFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			path := "/v1/status"
			if section := c.Args().First(); section != "" {
				path += "/" + section
			}
			return printAdmin(ctx, c, path)
		},
	}
}

func auditCommand() *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "show the audit trail of a running daemon, oldest first",
		Flags: append(adminFlags(),
			&cli.Uint64Flag{Name: "after", Usage: "only events after this sequence number"},
			&cli.Uint64Flag{Name: "limit", Value: 200, Usage: "at most this many events"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			return printAdmin(ctx, c, fmt.Sprintf("/v1/audit?after=%d&limit=%d", c.Uint64("after"), c.Uint64("limit")))
		},
	}
}

// adminTimeout bounds a call to a daemon's administration API.
const adminTimeout = 10 * time.Second

// maxAdminResponse bounds a response, in bytes.
const maxAdminResponse = 32 << 20

// printAdmin prints the response of a daemon's administration API to a GET request.
func printAdmin(ctx context.Context, c *cli.Command, path string) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.String("admin")+path, nil)
	if err != nil {
		return fmt.Errorf("%w: %v", errUsage, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.String("token"))
	client := responses.NewClient()
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("the daemon did not answer: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxAdminResponse))
	if err != nil {
		return fmt.Errorf("the daemon's answer broke off: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the daemon answered %d: %s", response.StatusCode, strings.TrimSpace(string(body)))
	}
	_, err = c.Root().Writer.Write(body)
	return err
}
