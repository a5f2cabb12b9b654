package command

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"filbertturn.example/filbertturn/internal/admin/message"
	"filbertturn.example/filbertturn/internal/config/audit"
	"filbertturn.example/filbertturn/internal/fleet/member"
)

func newStatus() *cobra.Command {
	var t nodeFlags
	c := &cobra.Command{
		Use:   "status",
		Short: "Print a node's view of the fleet and the backend servers that it owns",
		Args:  withUsageExit(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel, node, err := t.newCall()
			if err != nil {
				return err
			}
			defer cancel()
			s, err := node.Status(ctx)
			if err != nil {
				return err
			}
			return t.printer(c).write(s, func(w io.Writer) { printStatus(w, s) })
		},
	}
	t.register(c)
	return c
}

func printStatus(w io.Writer, s message.Status) {
	row := func(name string, value any) { _, _ = fmt.Fprintf(w, "%s\t%v\n", name, value) }
	row("Member", s.Member)
	if s.Current {
		row("Current", "yes, by "+s.CurrentBy)
	} else {
		row("Current", "no: "+s.Reason)
	}
	row("Sequence", fmt.Sprintf("%d (accepted %d, in force %d, newest %d)", s.Sequence, s.Accepted, s.InForce, s.Newest))
	row("Revision", s.Revision)
	row("Members", fmt.Sprintf("%d, %d of them live", len(s.Roster), s.Live))
	for _, m := range s.Pending {
		row("Waits for", m)
	}
	switch {
	case s.StoreBehind:
		row("Store", "was restored to an older state; nothing can be published until config reinstate")
	case s.StoreError != "":
		row("Store", s.StoreError)
	case !s.StoreAt.IsZero():
		row("Store", "last read at "+s.StoreAt.Format("15:04:05.000"))
	}
	row("Owners", s.Owners)
	for _, b := range s.BackendServers {
		row("BackendServer", fmt.Sprintf("%s %s %s slots %d busy %d waiting %d weight %.2f",
			b.BackendServer, b.Service, b.State, b.Slots, b.Busy, b.Waiting, b.Weight))
	}
}

func newAudit() *cobra.Command {
	var t nodeFlags
	var limit int
	c := &cobra.Command{
		Use:   "audit",
		Short: "Print the audit trail of published changes, the newest first",
		Args:  withUsageExit(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel, node, err := t.newCall()
			if err != nil {
				return err
			}
			defer cancel()
			records, err := node.Audit(ctx, limit)
			if err != nil {
				return err
			}
			for _, r := range records {
				if err := t.printer(c).write(r, func(w io.Writer) { printRecord(w, r) }); err != nil {
					return err
				}
			}
			return nil
		},
	}
	t.register(c)
	c.Flags().IntVar(&limit, "limit", 20, "number of records")
	return c
}

func printRecord(w io.Writer, r audit.Record) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d -> %d\t%s\n", r.Time.Format("2006-01-02 15:04:05"), r.Operator, r.From, r.To, r.PublishID)
	for _, change := range r.Changes {
		_, _ = fmt.Fprintf(w, "  %s\n", change)
	}
	if r.Omitted > 0 {
		_, _ = fmt.Fprintf(w, "  and %d more\n", r.Omitted)
	}
}

func newMembers() *cobra.Command {
	var t nodeFlags
	c := &cobra.Command{Use: "members", Short: "Correct what the fleet knows of its members"}
	ended := &cobra.Command{
		Use:   "ended ADDRESS#INCARNATION ...",
		Short: "Assert that members have stopped permanently",
		Long: "Assert that members have stopped permanently, so that changes no longer wait for them.\n\n" +
			"Name the members as status prints them. A member that still runs after the assertion may serve on an old " +
			"configuration: power its VM off first.",
		Args: withUsageExit(cobra.MinimumNArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			return assertEnded(c, &t, args)
		},
	}
	t.register(ended)
	c.AddCommand(ended)
	return c
}

// assertEnded resolves the named members in the status of the node and publishes the
// assertion that they have stopped.
func assertEnded(c *cobra.Command, t *nodeFlags, args []string) error {
	ctx, cancel, node, err := t.newCall()
	if err != nil {
		return err
	}
	defer cancel()
	s, err := node.Status(ctx)
	if err != nil {
		return err
	}
	var e message.Ended
	for _, text := range args {
		m, err := findMember(slices.Concat(s.Roster, s.Pending), text)
		if err != nil {
			return &Exit{Code: ExitUsage, Err: err}
		}
		e.Members = append(e.Members, m)
	}
	done, err := node.Ended(ctx, e)
	if err != nil {
		return err
	}
	return printPublished(c, t, done)
}

// findMember returns the known member that text names as ADDRESS#INCARNATION, the
// incarnation in hexadecimal.
func findMember(known []member.Member, text string) (member.Member, error) {
	address, incarnation, _ := strings.Cut(text, "#")
	a, errAddress := netip.ParseAddrPort(address)
	n, errNumber := strconv.ParseUint(incarnation, 16, 64)
	if err := errors.Join(errAddress, errNumber); err != nil {
		return member.Member{}, fmt.Errorf("%q is not ADDRESS#INCARNATION", text)
	}
	for _, m := range known {
		if m.Address == a && m.Incarnation == n {
			return m, nil
		}
	}
	return member.Member{}, fmt.Errorf("%s is not in the roster and nothing waits for it", text)
}
