// Package common holds the dependencies that every component shares: a logger, a
// clock and a source of randomness.
package common

import (
	"context"
	"crypto/rand"
	"io"
	mathrand "math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
)

// Clock returns monotonic time as the duration since the process started. It includes
// the time for which the machine is suspended, never goes backwards, and is comparable
// only within one process.
type Clock interface {
	Now() time.Duration
}

// Common is passed to every constructor.
type Common struct {
	Log   *log.Logger
	Clock Clock
	Rand  io.Reader // source of random 128-bit ids
}

// NewCommon returns a Common with the system's clock and randomness.
func NewCommon(logger *log.Logger) *Common {
	clock, err := newSystemClock(systemTime{start: time.Now()})
	if err != nil {
		logger.Warn("suspension_not_counted", "reason", err.Error())
	}
	return &Common{Log: logger, Clock: clock, Rand: rand.Reader}
}

// NewTestCommon returns a Common for tests that discards its log.
func NewTestCommon() *Common {
	return NewCommon(log.New(io.Discard))
}

// With returns a copy whose logger adds keyvals to each line.
func (c *Common) With(keyvals ...any) *Common {
	copied := *c
	copied.Log = c.Log.With(keyvals...)
	return &copied
}

// NewLogger returns a logger that writes JSON lines at level ("debug",
// "info", "warn" or "error"). The message of each line is its event name.
func NewLogger(w io.Writer, level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	return log.NewWithOptions(w, log.Options{
		Level:           parsed,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       log.JSONFormatter,
	}), nil
}

// ManualClock is a clock that tests advance explicitly.
type ManualClock struct{ At time.Duration }

// Now implements Clock.
func (c *ManualClock) Now() time.Duration { return c.At }

// Jitter spreads d by up to a quarter either way, so that hosts which began
// together do not act together. unit is a random number in [0, 1).
func Jitter(d time.Duration, unit float64) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*unit))
}

// Sleep waits for d and reports whether it did; it returns early when ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Unit returns a random number in [0, 1).
func Unit() float64 { return mathrand.Float64() }
