// Package logbuf provides a non-blocking writer for log lines. A line is queued or
// dropped, so that a slow reader never delays the caller; the number of dropped
// lines is logged as a line of its own.
//
//	w := logbuf.New(os.Stdout, logbuf.Config{})
//	defer w.Close()
//	logger := slog.New(slog.NewJSONHandler(w, nil))
//
// A writer lives as long as the process.
package logbuf
