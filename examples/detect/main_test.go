package main

func Example() {
	main()
	// Output:
	// quick: ejection requested 300ms after the first failure
	// sure: ejection requested 1.3s after the first failure
}
