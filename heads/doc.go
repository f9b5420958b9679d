// Package heads bounds the memory that the heads of requests and responses take.
//
//	pool := heads.NewPool(heads.Config{Capacity: 32 << 20})
//	server := &http.Server{ConnState: heads.TrackState}
//	err := server.Serve(pool.Listener(l))
//
// A parsed head costs many times its size, and net/http parses it before any handler
// runs. A Conn counts the bytes and lines of a head as they are read, and charges them to
// a Budget that all connections of the process share; a read whose charge does not fit
// waits. A Budget is pure; a Pool lasts as long as its process.
package heads
