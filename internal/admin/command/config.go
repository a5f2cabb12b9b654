package command

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"filbertturn.example/filbertturn/internal/admin/client"
	"filbertturn.example/filbertturn/internal/admin/message"
	"filbertturn.example/filbertturn/internal/config/check"
	"filbertturn.example/filbertturn/internal/config/diff"
	"filbertturn.example/filbertturn/internal/config/document"
	"filbertturn.example/filbertturn/internal/config/set"
)

func newConfig() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check, publish and compare configuration sets"}
	c.AddCommand(newCheck(), newPublish(), newGet(), newDiff(), newReinstate())
	return c
}

// readSet reads a document from a file, or from standard input for "-".
func readSet(c *cobra.Command, path string) (set.Set, []byte, error) {
	var text []byte
	var err error
	if path == "-" {
		text, err = io.ReadAll(c.InOrStdin())
	} else {
		text, err = os.ReadFile(path) //nolint:gosec // The path is the user's argument.
	}
	if err != nil {
		return set.Set{}, nil, &Exit{Code: ExitUsage, Err: err}
	}
	s, err := document.Decode(text)
	if err != nil {
		return set.Set{}, nil, syntaxExit(path, err)
	}
	return s, text, nil
}

// syntaxExit returns an error with ExitInvalid and one line per syntax error, each
// with its position in the file.
func syntaxExit(path string, err error) error {
	var syntax *document.Error
	if !errors.As(err, &syntax) {
		return &Exit{Code: ExitInvalid, Err: err}
	}
	lines := make([]string, 0, len(syntax.Problems))
	for _, p := range syntax.Problems {
		lines = append(lines, path+":"+p.String())
	}
	return &Exit{Code: ExitInvalid, Err: errors.New(strings.Join(lines, "\n"))}
}

func newCheck() *cobra.Command {
	var t nodeFlags
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a set locally, without calling a node or publishing it",
		Args:  withUsageExit(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			s, _, err := readSet(c, args[0])
			if err != nil {
				return err
			}
			return printProblems(t.printer(c), append(check.Check(s), check.PlatformOnlyFields(s)...))
		},
	}
	c.Flags().BoolVar(&t.json, "json", false, "print JSON lines")
	return c
}

// withUsageExit makes a wrong number of arguments end with ExitUsage.
func withUsageExit(f cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := f(c, args); err != nil {
			return &Exit{Code: ExitUsage, Err: err}
		}
		return nil
	}
}

// printProblems prints the problems of a set and returns an error with ExitInvalid
// if there are any.
func printProblems(p *printer, problems []check.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	for _, problem := range problems {
		if err := p.write(problem, func(w io.Writer) { _, _ = fmt.Fprintln(w, problem) }); err != nil {
			return err
		}
	}
	return &Exit{Code: ExitInvalid}
}

func newPublish() *cobra.Command {
	var t nodeFlags
	var base uint64
	var id string
	c := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a set if it is valid and no other revision was published since its base",
		Args:  withUsageExit(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			_, text, err := readSet(c, args[0])
			if err != nil {
				return err
			}
			node, err := t.client()
			if err != nil {
				return err
			}
			if id == "" {
				id = rand.Text()
			}
			return publish(c, &t, node, message.Publish{Base: base, PublishID: id, Set: text})
		},
	}
	t.register(c)
	c.Flags().Uint64Var(&base, "base", 0, "revision that the set was made from; 0 for the first")
	c.Flags().StringVar(&id, "id", "", "identifier of this publish; repeat it to learn an unknown outcome")
	return c
}

func publish(c *cobra.Command, t *nodeFlags, node *client.Client, p message.Publish) error {
	ctx, cancel := callContext()
	defer cancel()
	done, err := node.Publish(ctx, p)
	if err != nil {
		return printRefusal(c, t, p, err)
	}
	return printPublished(c, t, done)
}

// printPublished prints the outcome of a stored change. It returns an error with
// ExitPending if the change is not yet in force everywhere.
func printPublished(c *cobra.Command, t *nodeFlags, done message.Published) error {
	err := t.printer(c).write(done, func(w io.Writer) {
		for _, change := range done.Changes {
			_, _ = fmt.Fprintln(w, change)
		}
		state := "in force everywhere"
		if !done.InForce {
			state = "stored, not yet in force everywhere"
		}
		_, _ = fmt.Fprintf(w, "revision %d: %s\n", done.Revision, state)
	})
	if err == nil && !done.InForce {
		return &Exit{Code: ExitPending}
	}
	return err
}

// printRefusal prints the problems or the conflicting changes of a failed publish and
// returns the error with its exit code.
func printRefusal(c *cobra.Command, t *nodeFlags, p message.Publish, err error) error {
	var refused *message.Error
	if !errors.As(err, &refused) {
		return err
	}
	out := t.printer(c)
	switch refused.Code {
	case message.Invalid:
		return printProblems(out, refused.Problems)
	case message.Conflict:
		return printConflict(out, refused)
	case message.Unknown:
		return &Exit{Code: ExitUnknown, Err: fmt.Errorf("%w; repeat it with --id %s", err, p.PublishID)}
	default:
		return err
	}
}

func printConflict(out *printer, e *message.Error) error {
	err := out.write(e, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "revision %d is in force, the set was made from %d; nothing was published\n", e.Current, e.Base)
		for _, change := range e.Changes {
			_, _ = fmt.Fprintln(w, change)
		}
	})
	if err != nil {
		return err
	}
	return &Exit{Code: ExitConflict}
}

func newGet() *cobra.Command {
	var t nodeFlags
	c := &cobra.Command{
		Use:   "get",
		Short: "Print the set that a node runs, and its revision on standard error",
		Args:  withUsageExit(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel, node, err := t.newCall()
			if err != nil {
				return err
			}
			defer cancel()
			config, err := node.Config(ctx)
			if err != nil {
				return err
			}
			if t.json {
				return json.NewEncoder(c.OutOrStdout()).Encode(config)
			}
			text, err := reformat(config.Set)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(c.ErrOrStderr(), "revision %d\n", config.Revision)
			_, err = c.OutOrStdout().Write(text)
			return err
		},
	}
	t.register(c)
	return c
}

// reformat indents a document again, because encoding it inside a JSON message
// removes the white space.
func reformat(text []byte) ([]byte, error) {
	s, err := document.Decode(text)
	if err != nil {
		return nil, err
	}
	return document.Encode(s)
}

func newDiff() *cobra.Command {
	var t nodeFlags
	c := &cobra.Command{
		Use:   "diff FILE [FILE]",
		Short: "Compare a set with the one that a node runs, or with another file",
		Args:  withUsageExit(cobra.RangeArgs(1, 2)),
		RunE: func(c *cobra.Command, args []string) error {
			s, _, err := readSet(c, args[0])
			if err != nil {
				return err
			}
			other, err := readBaseSet(c, &t, args)
			if err != nil {
				return err
			}
			return printChanges(t.printer(c), diff.Diff(other, s))
		},
	}
	t.register(c)
	return c
}

// readBaseSet returns the set that diff compares with: that of the second file, or
// the one that the node runs.
func readBaseSet(c *cobra.Command, t *nodeFlags, args []string) (set.Set, error) {
	if len(args) > 1 {
		s, _, err := readSet(c, args[1])
		return s, err
	}
	ctx, cancel, node, err := t.newCall()
	if err != nil {
		return set.Set{}, err
	}
	defer cancel()
	config, err := node.Config(ctx)
	if err != nil {
		return set.Set{}, err
	}
	return document.Decode(config.Set)
}

func printChanges(p *printer, changes []diff.Change) error {
	for _, change := range changes {
		if err := p.write(change, func(w io.Writer) { _, _ = fmt.Fprintln(w, change) }); err != nil {
			return err
		}
	}
	if len(changes) > 0 {
		return &Exit{Code: ExitDiffers}
	}
	return nil
}

func newReinstate() *cobra.Command {
	var t nodeFlags
	c := &cobra.Command{
		Use:   "reinstate",
		Short: "Write the set that a node runs to a store that was restored to an older state",
		Args:  withUsageExit(cobra.NoArgs),
		RunE: func(_ *cobra.Command, _ []string) error {
			ctx, cancel, node, err := t.newCall()
			if err != nil {
				return err
			}
			defer cancel()
			return node.Reinstate(ctx)
		},
	}
	t.register(c)
	return c
}
