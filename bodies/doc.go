// Package bodies bounds the memory that request bodies take in a process while they are
// buffered.
//
//	charge, err := pool.Acquire(ctx, size)
//	if err != nil {
//		return err // the request is refused
//	}
//	defer charge.Release()
//
// A Budget is a value that one loop owns; a Pool shares it among the goroutines of a process.
package bodies
