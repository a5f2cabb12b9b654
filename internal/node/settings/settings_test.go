package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/pflag"
)

func TestParse(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.pem")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	valid := []string{
		"--caller-address=127.0.0.1:1", "--backend-address=127.0.0.1:2", "--peer-address=127.0.0.1:3", "--admin-address=127.0.0.1:4",
		"--data-centre=dc1", "--store=127.0.0.1:5", "--certificate=" + file, "--key=" + file, "--authority=" + file,
	}
	tests := []struct {
		desc        string
		args        []string
		environment map[string]string
		want        []string // Settings that are reported as invalid, in order.
	}{
		{desc: "valid", args: valid},
		{desc: "from the environment", args: valid[1:], environment: map[string]string{"FILBERTTURN_CALLER_ADDRESS": "127.0.0.1:1"}},
		{desc: "nothing set", want: []string{"caller-address", "backend-address", "peer-address", "admin-address", "data-centre", "store", "certificate", "key", "authority"}},
		{desc: "bad address and level", args: append(valid, "--caller-address=localhost:1", "--log-level=loud"), want: []string{"caller-address", "log-level"}},
		{desc: "address used twice", args: append(valid, "--admin-address=127.0.0.1:1"), want: []string{"admin-address"}},
		{desc: "wildcard", args: append(valid, "--peer-address=0.0.0.0:7"), want: []string{"peer-address"}},
		{desc: "bad bootstrap operator", args: append(valid, "--bootstrap-operator=ada:1234"), want: []string{"bootstrap-operator"}},
		{desc: "bad environment", args: valid, environment: map[string]string{"FILBERTTURN_DRAIN_TIMEOUT": "soon"}, want: []string{"drain-timeout"}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			f := pflag.NewFlagSet("node", pflag.ContinueOnError)
			RegisterFlags(f)
			if err := f.Parse(tt.args); err != nil {
				t.Fatal(err)
			}
			_, err := Parse(f, func(name string) (string, bool) {
				v, ok := tt.environment[name]
				return v, ok
			})
			var got []string
			var problems *Error
			if errors.As(err, &problems) {
				for _, p := range problems.Problems {
					got = append(got, p.Setting)
				}
			}
			if strings.Join(got, " ") != strings.Join(tt.want, " ") {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
