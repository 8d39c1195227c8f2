// Package report has a method that passes a closure over its receiver to a generic function.
package report

import "leak/lines"

// Report counts values.
type Report struct{ Count int }

type value struct{ a int }

// Read counts so many values.
func (r *Report) Read(count int) error { return lines.Each(count, r.take) }

//go:noinline
func (r *Report) take(value) { r.Count++ }
