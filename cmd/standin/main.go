// Command standin runs small stand-ins for the systems around the fleet.
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
