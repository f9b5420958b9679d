package main

func Example() {
	main()
	// Output:
	// committed "hello" at 2
}
