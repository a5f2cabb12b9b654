package process

import (
	"errors"
	"testing"
	"time"
)

func TestProcess(t *testing.T) {
	p, err := Start("sh", "-c", "echo ready one; echo ready two; while :; do sleep 0.01; echo more; done")
	if err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	lines, err := p.Await("ready ", 2, 5*time.Second)
	if err != nil || len(lines) != 2 || lines[1] != "two" {
		t.Fatalf("got %q, %v, want one and two", lines, err)
	}
	var missing *Error
	if _, err := p.Await("never ", 1, 50*time.Millisecond); !errors.As(err, &missing) {
		t.Errorf("got %v, want an *Error", err)
	}
	// The shell can be in the middle of a sleep, which ends by itself.
	if err := p.Freeze(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	before := p.Output()
	time.Sleep(100 * time.Millisecond)
	if got := p.Output(); got != before {
		t.Error("got output from a frozen process")
	}
	if err := p.Thaw(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	if got := p.Output(); got == before {
		t.Error("got no output after the thaw")
	}
	p.Kill()
	if _, err := p.Await("never ", 1, time.Minute); !errors.As(err, &missing) {
		t.Errorf("got %v from a process that has ended, want an *Error", err)
	}
}
