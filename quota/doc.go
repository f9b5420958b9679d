// Package quota bounds the requests of a customer over all nodes. A Home, at one host,
// has a token bucket per customer and grants tokens to nodes; a Holder, at each node,
// decides requests from the tokens it has.
//
//	if d := holder.Take(now, "acme", limit); !d.OK {
//		refuse(d.RetryAfter)
//	}
//	report := holder.Report(now)
//	holder.Answer(now, report.Seq, home.Report(then, report))
//
// A Home lasts as long as its host leads, a Holder as long as its process.
package quota
