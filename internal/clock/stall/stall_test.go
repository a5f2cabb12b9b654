package stall_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"filbertturn.example/filbertturn/internal/clock/stall"
)

// TestWatch checks that work ends once it makes no progress, and not while it does.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, w := stall.New(t.Context(), time.Second)
		defer w.Stop()
		for range 10 {
			time.Sleep(900 * time.Millisecond)
			if ctx.Err() != nil {
				t.Fatal("got an end in spite of progress")
			}
			w.Advance()
		}
		began := time.Now()
		<-ctx.Done()
		if got := time.Since(began); got != time.Second || !errors.Is(context.Cause(ctx), stall.ErrStalled) {
			t.Errorf("got the end after %s with %v, want ErrStalled after 1s", got, context.Cause(ctx))
		}
	})
}

// TestWatch_Reader checks that bytes are progress, and that the end of them is none.
func TestWatch_Reader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, w := stall.New(t.Context(), time.Second)
		defer w.Stop()
		r := w.Reader(io.MultiReader(strings.NewReader("a"), strings.NewReader("b")))
		began := time.Now()
		for range 3 {
			time.Sleep(900 * time.Millisecond)
			_, _ = r.Read(make([]byte, 1))
		}
		<-ctx.Done()
		if got, want := time.Since(began), 2800*time.Millisecond; got != want {
			t.Errorf("got the end after %s, want %s", got, want)
		}
	})
}

// TestWatch_nil checks that a watch may be missing.
func TestWatch_nil(t *testing.T) {
	var w *stall.Watch
	w.Advance()
	if got, err := io.ReadAll(w.Reader(strings.NewReader("text"))); err != nil || string(got) != "text" {
		t.Errorf("got %q, %v", got, err)
	}
}
