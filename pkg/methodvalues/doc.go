// Package methodvalues guards against a fault of the compiler (go1.26.8) that lets a method value corrupt the heap.
//
// For a method value, as report.Read in each(report.Read), the compiler generates a wrapper in the package that
// uses it. It inlines the method there and analyses once more what escapes, without the analysis of generic
// functions that the method calls. A closure over the receiver may then be allocated on the heap, while the
// caller relies on the analysis of the method itself and keeps the receiver on the stack. The closure's pointer
// to it isn't updated when the stack moves: reads and writes through it reach freed memory.
//
// The package has tests only. They read the compiler's own report (-m=2) of each wrapper.
package methodvalues
