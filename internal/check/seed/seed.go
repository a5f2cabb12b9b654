// Package seed sets a fixed default seed for the property tests, so that every run of
// go test draws the same schedules. Test files import it for its side effect; the flag
// -rapid.seed on the command line takes precedence.
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // Registers the flag that init sets.
)

// Default is the value of -rapid.seed when the command line names none.
const Default = "20261203"

func init() {
	if err := flag.Set("rapid.seed", Default); err != nil {
		panic(err)
	}
}
