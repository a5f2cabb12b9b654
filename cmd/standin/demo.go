package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"filbertturn.example/filbertturn/internal/standin/demo"
)

// demoCommand returns the command that runs the whole system on loopback and checks
// its behaviour.
func demoCommand() *cobra.Command {
	var program string
	var keep bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run the whole system on loopback and check its behaviour",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			directory, err := os.MkdirTemp("", "demo-")
			if err != nil {
				return err
			}
			defer func() { _ = os.RemoveAll(directory) }()
			standin, err := os.Executable()
			if err != nil {
				return err
			}
			d := &demo.Demo{Node: program, Standin: standin, Directory: directory, Out: c.OutOrStdout()}
			running, err := d.Run(ctx)
			if running != nil {
				defer running.Close()
			}
			if err != nil || !keep {
				return err
			}
			d.Addresses()
			_, _ = fmt.Fprintln(c.OutOrStdout(), "running until interrupted")
			<-ctx.Done()
			return nil
		},
	}
	c.Flags().StringVar(&program, "program", "", "path of the filbertturn program")
	c.Flags().BoolVar(&keep, "keep", false, "leave the system running and print its addresses")
	return c
}
