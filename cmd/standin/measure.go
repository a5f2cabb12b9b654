package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"filbertturn.example/filbertturn/internal/standin/baseline"
	"filbertturn.example/filbertturn/internal/standin/cluster"
	"filbertturn.example/filbertturn/internal/standin/comparison"
	"filbertturn.example/filbertturn/internal/standin/experiment"
	"filbertturn.example/filbertturn/internal/standin/measure"
	"filbertturn.example/filbertturn/internal/standin/scenario"
)

const (
	resultsHeading = "\n## Results\n"
	documentMode   = 0o644
)

// measureFlags are the flags of the measure command.
type measureFlags struct {
	settings      experiment.Settings
	policies      []string
	scenarios     []string
	deployments   []string
	firstSeed     uint64
	seeds         uint64
	parallel      int
	parallelFleet int
	json          string
	records       string
	document      string
	verbose       bool
}

// measureCommand returns the command that compares policies in all scenarios.
func measureCommand() *cobra.Command {
	var m measureFlags
	policies := []string{experiment.Fleet}
	for _, k := range baseline.Kinds {
		policies = append(policies, string(k))
	}
	c := &cobra.Command{
		Use:   "measure",
		Short: "Run the scenarios with the fleet and with the baselines, and compare them",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return m.run(c) },
	}
	f := c.Flags()
	f.StringVar(&m.settings.Node, "program", "", "path of the filbertturn program")
	f.IntVar(&m.settings.Nodes, "nodes", 3, "nodes of a fleet")
	f.IntVar(&m.settings.Proxies, "proxies", 0, "proxies of a baseline, each with a state of its own; 0 means as many as nodes")
	f.DurationVar(&m.settings.WarmUp, "warm-up", 22*time.Second, "time from the start of a fleet to the first request")
	f.StringArrayVar(&m.policies, "policy", policies, "policy to run (repeatable)")
	f.StringArrayVar(&m.scenarios, "scenario", nil, "name of a scenario to run (repeatable); none means all")
	f.StringArrayVar(&m.deployments, "deployment", nil, "name of a deployment to run (repeatable); none means all")
	f.Uint64Var(&m.firstSeed, "first-seed", 1, "seed of the first run of each scenario and policy")
	f.Uint64Var(&m.seeds, "seeds", 5, "runs of each scenario and policy")
	f.IntVar(&m.parallel, "parallel", 20, "baseline runs at once")
	f.IntVar(&m.parallelFleet, "parallel-fleets", 24, "fleets at once")
	f.StringVar(&m.json, "json", "", "file for the rows as lines of JSON")
	f.StringVar(&m.document, "document", "", "Markdown file whose text after the heading \"Results\" is replaced")
	f.StringVar(&m.records, "records", "", "file for every request as lines of JSON, each run after a line with its case")
	f.BoolVar(&m.verbose, "verbose", false, "print each run to standard error")
	return c
}

func (m measureFlags) run(c *cobra.Command) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	directory, err := os.MkdirTemp("", "measure-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if err := cluster.MakeCertificates(directory); err != nil {
		return err
	}
	if m.settings.Standin, err = os.Executable(); err != nil {
		return err
	}
	m.settings.Directory = directory
	m.settings.Parallel = map[bool]int{true: m.parallelFleet, false: m.parallel}
	cases := m.cases()
	done := 0
	m.settings.Progress = func(r experiment.Result) {
		done++
		if r.Err != nil {
			c.PrintErrf("%d/%d %s, %s, %s, seed %d: %v\n", done, len(cases),
				r.Case.Deployment.Name, r.Case.Scenario.Name, r.Case.Policy, r.Case.Seed, r.Err)
		} else if m.verbose {
			c.PrintErrf("%d/%d %s, %s, %s, seed %d\n", done, len(cases),
				r.Case.Deployment.Name, r.Case.Scenario.Name, r.Case.Policy, r.Case.Seed)
		}
	}
	start := time.Now()
	results := experiment.New(m.settings).Run(ctx, cases)
	if m.records != "" {
		if err := writeLines(m.records, recordLines(results)); err != nil {
			return err
		}
	}
	rows := comparison.Rows(results)
	return m.print(c, rows, len(cases), time.Since(start))
}

// cases lists the runs, in the order of the table.
func (m measureFlags) cases() []experiment.Case {
	var out []experiment.Case
	for _, d := range scenario.Deployments {
		if len(m.deployments) > 0 && !slices.Contains(m.deployments, d.Name) {
			continue
		}
		for _, s := range scenario.All() {
			if len(m.scenarios) > 0 && !slices.Contains(m.scenarios, s.Name) {
				continue
			}
			for _, p := range m.policies {
				for i := range m.seeds {
					out = append(out, experiment.Case{Scenario: s, Deployment: d, Policy: p, Seed: m.firstSeed + i})
				}
			}
		}
	}
	return out
}

// print writes the results to standard output and to the files that the flags name.
func (m measureFlags) print(c *cobra.Command, rows []*comparison.Row, cases int, took time.Duration) error {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%d runs with seeds %d to %d and %d nodes, %d fleets and %d baseline runs at once, took %s.\n",
		cases, m.firstSeed, m.firstSeed+m.seeds-1, m.settings.Nodes, m.parallelFleet, m.parallel, took.Round(time.Second))
	if err := comparison.WriteTable(&text, rows); err != nil {
		return err
	}
	if err := comparison.WriteAdded(&text, rows); err != nil {
		return err
	}
	if misses := comparison.Misses(rows); len(misses) > 0 {
		fmt.Fprintf(&text, "\nWorse than the best baseline:\n\n- %s\n", strings.Join(misses, "\n- "))
	} else {
		fmt.Fprint(&text, "\nNo measure is worse than that of the best baseline.\n")
	}
	if _, err := c.OutOrStdout().Write(text.Bytes()); err != nil {
		return err
	}
	if m.document != "" {
		if err := replaceResults(m.document, text.Bytes()); err != nil {
			return err
		}
	}
	if m.json == "" {
		return nil
	}
	lines := make([]any, 0, len(rows))
	for _, r := range rows {
		lines = append(lines, r)
	}
	return writeLines(m.json, lines)
}

// replaceResults puts text in place of all that follows the heading of the
// results in a Markdown file.
func replaceResults(path string, text []byte) error {
	old, err := os.ReadFile(path) //nolint:gosec // The path is the user's argument.
	if err != nil {
		return err
	}
	head, _, found := bytes.Cut(old, []byte(resultsHeading))
	if !found {
		return fmt.Errorf("%s has no heading %q", path, resultsHeading)
	}
	return os.WriteFile(path, slices.Concat(head, []byte(resultsHeading), []byte("\n"), text), documentMode) //nolint:gosec // The path is the user's argument.
}

func recordLines(results []experiment.Result) []any {
	var lines []any
	for _, r := range results {
		lines = append(lines, struct {
			Deployment, Scenario, Policy string
			Seed                         uint64
			Summary                      measure.Summary
		}{r.Case.Deployment.Name, r.Case.Scenario.Name, r.Case.Policy, r.Case.Seed, r.Summary})
		for _, record := range r.Records {
			lines = append(lines, record)
		}
	}
	return lines
}

func writeLines(path string, lines []any) (err error) {
	f, err := os.Create(path) //nolint:gosec // The path is the user's argument.
	if err != nil {
		return err
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()
	out := json.NewEncoder(f)
	for _, l := range lines {
		if err := out.Encode(l); err != nil {
			return err
		}
	}
	return nil
}
