// Package lines has a generic function that calls back.
package lines

import "runtime"

//go:noinline
func useStack(depth int) int {
	var page [1024]byte
	if depth == 0 {
		return int(page[0])
	}
	page[depth] = byte(depth)
	return useStack(depth-1) + int(page[depth])
}

// Each calls visit so many times. The goroutine's stack grows and shrinks in between.
func Each[T any](count int, visit func(T)) error {
	for range count {
		useStack(64)
		runtime.GC()
		var value T
		visit(value)
	}
	return nil
}
