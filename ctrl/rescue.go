package ctrl

import (
	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/disk"
	"github.com/damaskpitch/damaskpitch/raft"
)

// ErrNotHeld says that a data folder holds no part of a group.
var ErrNotHeld = errors.New("the data folder does not hold the group")

// Rescued is a replication group that goes on from one data folder.
type Rescued struct {
	Group uint32 `json:"group"`
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
}

// Rescue makes a stopped control host the only voter of the groups, after a
// majority of each was lost for good. The host must not run.
func Rescue(settings config.Control, groups []uint32) ([]Rescued, error) {
	d, err := disk.Open(disk.Config{Folder: settings.Data})
	if err != nil {
		return nil, err
	}
	list, err := rescueAll(d, groups)
	return list, errors.CombineErrors(err, d.Close())
}

func rescueAll(d *disk.Disk, groups []uint32) ([]Rescued, error) {
	var list []Rescued
	for _, id := range groups {
		saved, err := d.Load(id)
		if err != nil {
			return list, errors.Errorf("load group %d: %w", id, err)
		}
		cmd, held := raft.Rescue(saved, d.ID())
		if !held {
			return list, errors.Errorf("rescue group %d: %w", id, ErrNotHeld)
		}
		if err := d.Save(id, cmd); err != nil {
			return list, errors.Errorf("rescue group %d: %w", id, err)
		}
		list = append(list, Rescued{Group: id, Index: cmd.Entries[0].Index, Term: cmd.Term})
	}
	return list, nil
}
