package main

func Example() {
	main()
	// Output:
	// attempt 1: gate.StartCmd
	// attempt 2: gate.StartCmd
	// attempt 3: queued
	// attempt 1 completed: gate.StartCmd
}
