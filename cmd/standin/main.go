// Command standin runs substitutes for the systems around the fleet, namely the
// key-value service, backend servers and callers, and the experiments that use them.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins for the platform, the backend servers and the callers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(storeCommand(), backendCommand(), loadCommand(), measureCommand(), demoCommand(), capacityCommand())
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
