package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"filbertturn.example/filbertturn/internal/standin/capacity"
)

// capacityCommand returns the command that measures the processor time, memory and
// network traffic of idle nodes.
func capacityCommand() *cobra.Command {
	var s capacity.Settings
	var nodes []int
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure the resource use of a node without requests, at several sizes of the fleet",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			directory, err := os.MkdirTemp("", "capacity-")
			if err != nil {
				return err
			}
			defer func() { _ = os.RemoveAll(directory) }()
			if s.Standin, err = os.Executable(); err != nil {
				return err
			}
			s.Directory = directory
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			_, _ = fmt.Fprintln(w, "nodes\tbackend servers\tcustomers\troutes\tcore %\tresident MB\tsent B/s\tsessions\tstore calls/s\t")
			for _, n := range nodes {
				s.Nodes = n
				cost, err := capacity.Measure(c.Context(), s)
				if err != nil {
					return err
				}
				_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%.2f\t%.1f\t%.0f\t%.1f\t%.1f\t\n", cost.Nodes, cost.BackendServers, cost.Customers,
					cost.Routes, cost.Processor, cost.ResidentMB, cost.SentPerSecond, cost.Sessions, cost.StorePerSecond)
			}
			return w.Flush()
		},
	}
	f := c.Flags()
	f.StringVar(&s.Node, "program", "", "path of the filbertturn program")
	f.IntSliceVar(&nodes, "nodes", []int{10, 20, 40}, "sizes of the fleet")
	f.IntVar(&s.BackendServers, "backend-servers", 30, "backend servers")
	f.IntVar(&s.Customers, "customers", 8, "customers, each with a key")
	f.IntVar(&s.Routes, "routes", 4, "routes")
	f.DurationVar(&s.Time, "time", 10*time.Second, "time over which the resource use is measured")
	return c
}
