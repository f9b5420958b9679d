package node

import (
	"context"
	"log/slog"
	"net/http"
)

// A stop waits for early requests until _pipelinedAnsweredShare of it is left. At
// _giveWayShare, requests that still run give way to finished responses behind them: a
// response in turn could not be sent in time anyway, and those would be lost with it.
const (
	_giveWayShare           = 0.125
	_pipelinedAnsweredShare = 0.06
)

// turnWriter notes whether the response to the request in turn has begun.
type turnWriter struct {
	http.ResponseWriter
	conn *pipelinedConn
}

// WriteHeader sends the head of the response.
func (w turnWriter) WriteHeader(status int) {
	if isFinalStatus(status) {
		w.conn.beginResponse()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body.
func (w turnWriter) Write(p []byte) (int, error) {
	w.conn.beginResponse()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer below, for http.ResponseController.
func (w turnWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

func (c *pipelinedConn) beginResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.giveUp = nil
}

// serveInTurn serves a request that has not started early. On a connection that has
// pipelined, it may be given up for the responses behind it.
func (p *pipelines) serveInTurn(c *pipelinedConn, w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	if c.ahead == nil {
		c.mu.Unlock()
		p.handler(w, r)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	c.giveUp = cancel
	c.mu.Unlock()
	p.handler(turnWriter{ResponseWriter: w, conn: c}, r.WithContext(ctx))
}

// giveWay gives up the requests in turn that hold up finished responses behind them.
func (p *pipelines) giveWay() {
	p.mu.Lock()
	conns := make([]*pipelinedConn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.giveWay()
	}
}

func (c *pipelinedConn) giveWay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	giveUp := c.giveUp
	if turn := c.ahead.turn; turn != nil && turn.status == 0 {
		giveUp = turn.cancel
	}
	if giveUp == nil || len(c.ahead.queue) == 0 || !c.ahead.queue[0].done {
		return
	}
	c.pipelines.log.Info("a request gives way to finished responses behind it", slog.String("from", c.RemoteAddr().String()),
		slog.Int("waiting", len(c.ahead.queue)))
	giveUp()
}
