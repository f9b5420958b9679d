// Package disk stores the raft logs, votes and snapshots of a host's replicas in
// a data folder. Every write is synced to disk before it returns.
//
//	d, err := disk.Open(disk.Config{Folder: "/data/damaskpitch"})
//	err = d.Save(group, cmd)
//
// The files persist across restarts of the process.
package disk
