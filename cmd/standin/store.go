package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"filbertturn.example/filbertturn/internal/standin/store"
)

const storeHeaderTimeout = 10 * time.Second

// storeCommand returns the command that runs the platform's key-value service.
func storeCommand() *cobra.Command {
	var listen string
	c := &cobra.Command{
		Use:   "store",
		Short: "Run the platform's key-value service; it keeps its values in memory",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runStore(c, listen)
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	return c
}

func runStore(c *cobra.Command, listen string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listen)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if _, err := fmt.Fprintf(c.OutOrStdout(), "listening on %s\n", l.Addr()); err != nil {
		return err
	}
	var s store.Store
	server := http.Server{Handler: s.Handler(), ReadHeaderTimeout: storeHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
