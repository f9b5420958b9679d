package main

func Example() {
	main()
	// Output:
	// attempt 1: gate.StartCmd
	// attempt 2: gate.StartCmd
	// attempt 3: waits
	// attempt 1 is done: gate.StartCmd
}
