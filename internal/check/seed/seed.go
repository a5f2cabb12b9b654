// Package seed gives the property tests one seed, so that every run of the
// test command draws the same schedules. A test file imports it for its effect;
// the flag -rapid.seed on the command line still takes precedence.
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
