package main

import (
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
	"filbertturn.example/filbertturn/internal/standin/scenario"
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
	f.IntVar(&m.parallelFleet, "parallel-fleets", 20, "fleets at once")
	f.StringVar(&m.json, "json", "", "file for the rows as lines of JSON")
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
	rows := comparison.Rows(experiment.New(m.settings).Run(ctx, cases))
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

func (m measureFlags) print(c *cobra.Command, rows []*comparison.Row, cases int, took time.Duration) error {
	out := c.OutOrStdout()
	if _, err := fmt.Fprintf(out, "%d runs with seeds %d to %d and %d nodes took %s.\n",
		cases, m.firstSeed, m.firstSeed+m.seeds-1, m.settings.Nodes, took.Round(time.Second)); err != nil {
		return err
	}
	if err := comparison.WriteTable(out, rows); err != nil {
		return err
	}
	misses := comparison.Misses(rows)
	text := "\nNo measure is worse than that of the best baseline.\n"
	if len(misses) > 0 {
		text = "\nWorse than the best baseline:\n\n- " + strings.Join(misses, "\n- ") + "\n"
	}
	if _, err := fmt.Fprint(out, text); err != nil {
		return err
	}
	if m.json == "" {
		return nil
	}
	return writeRows(m.json, rows)
}

func writeRows(path string, rows []*comparison.Row) (err error) {
	f, err := os.Create(path) //nolint:gosec // The path is the user's argument.
	if err != nil {
		return err
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()
	for _, r := range rows {
		if err := json.NewEncoder(f).Encode(r); err != nil {
			return err
		}
	}
	return nil
}
