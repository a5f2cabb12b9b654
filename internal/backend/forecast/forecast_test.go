package forecast_test

import (
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/forecast"
)

func TestForecast_Correct(t *testing.T) {
	const expected = 100 * time.Millisecond
	now := time.Unix(1000, 0)
	var f forecast.Forecast
	if got := f.Correct(now, expected); got != expected {
		t.Errorf("before any wait: got %s, want %s", got, expected)
	}
	for range 20 {
		f.Waited(now, expected, 3*expected)
	}
	if got := f.Correct(now, expected); got < 290*time.Millisecond || got > 3*expected {
		t.Errorf("after waits of three times as long: got %s, want about %s", got, 3*expected)
	}
	if got := f.Correct(now.Add(time.Second), expected); got < 180*time.Millisecond || got > 2*expected {
		t.Errorf("a second later: got %s, want about %s", got, 2*expected)
	}
	for range 20 {
		f.Waited(now, expected, 0)
	}
	if got := f.Correct(now, expected); got < expected || got > 105*time.Millisecond {
		t.Errorf("after waits that were short: got %s, want %s again", got, expected)
	}
	for range 50 {
		f.Waited(now, 0, time.Hour)
	}
	if got := f.Correct(now, expected); got > 10*expected {
		t.Errorf("after waits that were far too long: got %s, want %s at most", got, 10*expected)
	}
}
