// Package trials holds the tests that run the built program as separate
// processes over loopback and bring failures about.
//
//	go test ./trials
//
// Its values live as long as one test.
package trials
