package main

func Example() {
	main()
	// Output:
	// quick asks 300ms after the first failure
	// sure asks 1.3s after the first failure
}
