package main

func Example() {
	main()
	// Output:
	// first: claim.GrantedCmd
	// second: done, "permit 41"
}
