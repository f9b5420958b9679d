// Package disk keeps a replica's log, vote and snapshot in one data folder;
// what it has written is synced before it returns.
//
//	d, err := disk.Open(disk.Config{Folder: "/data/damaskpitch"})
//	err = d.Save(group, cmd)
//
// Its files outlive the process.
package disk
