package command

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"filbertturn.example/filbertturn/internal/node/identity"
	"filbertturn.example/filbertturn/internal/node/process"
	"filbertturn.example/filbertturn/internal/node/settings"
)

func newNode() *cobra.Command {
	c := &cobra.Command{
		Use:   "node",
		Short: "Run a node in the slot of a backend server VM",
		Long: "Run a node in the slot of a backend server VM.\n\nEach flag can be given as an environment variable instead: " +
			settings.EnvironmentPrefix + " and the flag's name in upper case with underscores.\n" +
			"SIGTERM and SIGINT shut the node down gracefully; SIGINT after that ends it at once. SIGHUP is ignored.",
		Args: cobra.NoArgs,
		RunE: runNode,
	}
	settings.RegisterFlags(c.Flags())
	return c
}

func runNode(c *cobra.Command, _ []string) error {
	s, err := settings.Parse(c.Flags(), os.LookupEnv)
	if err != nil {
		return &Exit{Code: ExitUsage, Err: err}
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return &Exit{Code: ExitUsage, Err: err}
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName = "Time", "Level", "Message"
	zerolog.ErrorFieldName = "Error"
	log := zerolog.New(c.ErrOrStderr()).Level(level).With().Timestamp().Stringer("Node", s.PeerAddress).Logger()
	p, err := process.New(s, log, time.Now())
	if err != nil {
		return &Exit{Code: ExitUsage, Err: err}
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	// A node reads its settings only when it starts. SIGHUP would end it with its requests.
	signal.Ignore(syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-signals
		cancel()
	}()
	return p.Run(ctx, signals)
}

func newCertificate() *cobra.Command {
	var directory string
	var addresses []string
	c := &cobra.Command{
		Use:   "certificate",
		Short: "Make a certificate for a node, and an authority if the directory has none",
		Long: "Make a certificate for a node, and an authority if the directory has none.\n\n" +
			"Writes authority.pem, authority-key.pem, node.pem and node-key.pem. It is meant for tests and small fleets; " +
			"others sign their nodes' certificates with an authority of their own.",
		Args: cobra.NoArgs,
		RunE: func(_ *cobra.Command, _ []string) error {
			var list []netip.Addr
			for _, text := range addresses {
				a, err := netip.ParseAddr(text)
				if err != nil {
					return &Exit{Code: ExitUsage, Err: err}
				}
				list = append(list, a)
			}
			return identity.Create(directory, list, time.Now())
		},
	}
	c.Flags().StringVar(&directory, "directory", ".", "directory to write to")
	c.Flags().StringSliceVar(&addresses, "address", []string{"127.0.0.1"}, "IP address of the node; may be repeated")
	return c
}
