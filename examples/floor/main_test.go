package main

func Example() {
	main()
	// Output:
	// eject a: floor.GrantedCmd, 2 healthy
	// eject b: floor.RefusedCmd, 2 healthy
}
