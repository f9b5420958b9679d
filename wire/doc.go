// Package wire carries typed messages between the system's own processes.
//
//	codec := wire.NewCodec(Ping{}, Pong{})
//	data, err := codec.Encode(Ping{})
//
// Its frames live as long as one request.
package wire
