// Package command implements the commands of the filbertturn program.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"runtime/debug"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"filbertturn.example/filbertturn/internal/admin/client"
	"filbertturn.example/filbertturn/internal/admin/message"
	"filbertturn.example/filbertturn/internal/node/settings"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailure     = 1 // The command failed.
	ExitUsage       = 2 // A flag, an argument or a setting is wrong.
	ExitInvalid     = 3 // The set has problems; nothing was published.
	ExitConflict    = 4 // Another revision was published first; nothing was published.
	ExitUnknown     = 5 // The publish may have taken effect.
	ExitPending     = 6 // The revision is stored and not yet in force everywhere.
	ExitUnreachable = 7 // The node or its store does not answer; nothing was done.
	ExitDiffers     = 8 // The compared sets differ.
)

const callTimeout = 30 * time.Second

// Exit is an error that sets the exit code of the program. Without Err nothing is
// printed, because the command has already printed its result.
type Exit struct {
	Code int
	Err  error
}

// Error implements the error interface.
func (e *Exit) Error() string {
	if e.Err == nil {
		return ""
	}
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *Exit) Unwrap() error {
	return e.Err
}

// Run executes the command line and returns the exit code. The extra commands, such
// as those of a platform adapter, are added to the built-in ones.
func Run(args []string, stdout, stderr io.Writer, extra ...*cobra.Command) int {
	root := newRoot()
	root.AddCommand(extra...)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	if text := err.Error(); text != "" {
		_, _ = fmt.Fprintln(stderr, text)
	}
	return exitCode(err)
}

// exitCode maps an error of a command or of the administration API to an exit code.
func exitCode(err error) int {
	var exit *Exit
	if errors.As(err, &exit) {
		return exit.Code
	}
	var unreachable *client.ConnectError
	if errors.As(err, &unreachable) {
		return ExitUnreachable
	}
	var refused *message.Error
	if errors.As(err, &refused) {
		switch refused.Code {
		case message.Invalid, message.Malformed:
			return ExitInvalid
		case message.Conflict:
			return ExitConflict
		case message.Unknown:
			return ExitUnknown
		case message.Unpublished, message.Unavailable:
			return ExitUnreachable
		}
	}
	return ExitFailure
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "filbertturn",
		Short:         "Proxy fleet for backend servers with gray failures",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &Exit{Code: ExitUsage, Err: err}
	})
	root.AddCommand(newNode(), newConfig(), newStatus(), newAudit(), newKey(), newMembers(), newCertificate(), newExplain(), newLosses(), newQuarantine(), newVersion())
	return root
}

// nodeFlags holds the flags of the commands that call a node.
type nodeFlags struct {
	admin string
	token string
	json  bool
}

func (t *nodeFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&t.admin, "admin", "", "administration address of a node, IP:PORT (FILBERTTURN_ADMIN)")
	c.Flags().StringVar(&t.token, "token", "", "token of an operator; better given as FILBERTTURN_TOKEN")
	c.Flags().BoolVar(&t.json, "json", false, "print JSON lines")
}

// client returns a client of the node that the flags name, or else the environment
// variables.
func (t *nodeFlags) client() (*client.Client, error) {
	admin, token := t.admin, t.token
	if admin == "" {
		admin = os.Getenv(settings.EnvironmentPrefix + "ADMIN")
	}
	if token == "" {
		token = os.Getenv(settings.EnvironmentPrefix + "TOKEN")
	}
	address, err := netip.ParseAddrPort(admin)
	if err != nil {
		return nil, &Exit{Code: ExitUsage, Err: fmt.Errorf("--admin (FILBERTTURN_ADMIN): %q is not an address IP:PORT", admin)}
	}
	return &client.Client{Address: address, Token: token}, nil
}

// newCall returns a client of the node and a context that limits one command's calls
// to callTimeout.
func (t *nodeFlags) newCall() (context.Context, context.CancelFunc, *client.Client, error) {
	node, err := t.client()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := callContext()
	return ctx, cancel, node, nil
}

func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// printer writes values as JSON lines or as aligned text.
type printer struct {
	out  io.Writer
	json bool
}

func (t *nodeFlags) printer(c *cobra.Command) *printer {
	return &printer{out: c.OutOrStdout(), json: t.json}
}

// write writes v as a JSON line, or else the text that f writes, with its
// tab-separated cells aligned in columns.
func (p *printer) write(v any, f func(w io.Writer)) error {
	if p.json {
		return json.NewEncoder(p.out).Encode(v)
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	f(w)
	return w.Flush()
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			version, goVersion := "unknown", "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version, goVersion = info.Main.Version, info.GoVersion
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "filbertturn %s %s\n", version, goVersion)
			return err
		},
	}
}
