// Package trials holds the end-to-end tests: they run the built program as
// separate processes over loopback and inject failures.
//
//	go test ./trials
//
// Set TRIALS_RACE to build the program with the race detector. The processes and
// their data last as long as the test that started them.
package trials
