package command

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"filbertturn.example/filbertturn/internal/admin/client"
	"filbertturn.example/filbertturn/internal/node/quarantine"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
)

// metricsFlags holds the flags of the commands that call a node at its address for metrics.
type metricsFlags struct {
	address string
	json    bool
}

func (m *metricsFlags) client() (*client.Client, error) {
	address, err := netip.ParseAddrPort(m.address)
	if err != nil {
		return nil, &Exit{Code: ExitUsage, Err: fmt.Errorf("--metrics: %q is not an address IP:PORT", m.address)}
	}
	return &client.Client{Address: address}, nil
}

func newQuarantine() *cobra.Command {
	var flags metricsFlags
	c := &cobra.Command{
		Use:   "quarantine",
		Short: "List or withdraw what is held against requests that crash backend servers",
		Long: "List or withdraw what is held against requests that crash backend servers.\n\n" +
			"Any node of the platform answers for all, at its address for metrics. A request is known by its fingerprint, which\n" +
			"is in the log lines about it.",
	}
	c.PersistentFlags().StringVar(&flags.address, "metrics", "", "address of a node for metrics, IP:PORT")
	c.PersistentFlags().BoolVar(&flags.json, "json", false, "print JSON lines")
	c.AddCommand(newQuarantineList(&flags), newQuarantineWithdraw(&flags))
	return c
}

func newQuarantineList(flags *metricsFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the suspected and quarantined requests, the gravest first",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			node, err := flags.client()
			if err != nil {
				return err
			}
			ctx, cancel := callContext()
			defer cancel()
			list, err := node.Quarantine(ctx)
			if err != nil {
				return err
			}
			p := &printer{out: c.OutOrStdout(), json: flags.json}
			return p.write(list, func(w io.Writer) { writeEntries(w, list, time.Now()) })
		},
	}
}

// writeEntries writes a line for each request and one for each crash that counts against it.
func writeEntries(w io.Writer, list []quarantine.Entry, now time.Time) {
	for _, e := range list {
		_, _ = fmt.Fprintf(w, "%s\t%s\tfor %s\n", e.Fingerprint, e.Verdict, e.Until.Sub(now).Round(time.Second))
		for _, crash := range e.Crashes {
			_, _ = fmt.Fprintf(w, "  %s beside %s\t%s ago\tshare %.2f\n", crash.Service, crash.Node, now.Sub(crash.At).Round(time.Second), crash.Share)
		}
	}
}

func newQuarantineWithdraw(flags *metricsFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "withdraw FINGERPRINT",
		Short: "Let a request run again, at all nodes",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			f, ok := fingerprint.Parse(args[0])
			if !ok {
				return &Exit{Code: ExitUsage, Err: fmt.Errorf("%q is not a fingerprint", args[0])}
			}
			node, err := flags.client()
			if err != nil {
				return err
			}
			ctx, cancel := callContext()
			defer cancel()
			return node.Withdraw(ctx, f)
		},
	}
}
