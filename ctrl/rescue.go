package ctrl

import (
	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/disk"
	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/raft"
)

// ErrNotHeld reports a data folder without a replica of the group.
var ErrNotHeld = errors.New("the data folder does not hold the group")

// RescueConfig selects the groups to recover from a stopped host's data folder.
type RescueConfig struct {
	Settings config.Control
	Groups   []uint32
	// Lineage is the minimum lineage of the recovered groups.
	Lineage uint64
	// AllowMissing creates claim groups that the folder does not hold, without their
	// keys.
	AllowMissing bool
}

// Rescued is a group recovered from a data folder. Held reports whether the folder
// held the group before.
type Rescued struct {
	Group uint32 `json:"group"`
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	Held  bool   `json:"held"`
}

// Rescue makes a stopped control host the only voter of the groups, after a majority
// of each was lost permanently. The host must not be running.
func Rescue(cfg RescueConfig) ([]Rescued, error) {
	d, err := disk.Open(disk.Config{Folder: cfg.Settings.Data})
	if err != nil {
		return nil, err
	}
	list, err := cfg.rescueGroups(d)
	return list, errors.CombineErrors(err, d.Close())
}

func (c RescueConfig) rescueGroups(d *disk.Disk) ([]Rescued, error) {
	var list []Rescued
	for _, id := range c.Groups {
		rescued, err := c.rescueGroup(d, id)
		if err != nil {
			return list, errors.Errorf("rescue group %d: %w", id, err)
		}
		list = append(list, rescued)
	}
	return list, nil
}

func (c RescueConfig) rescueGroup(d *disk.Disk, id uint32) (Rescued, error) {
	saved, err := d.Load(id)
	if err != nil {
		return Rescued{}, err
	}
	self := raft.Peer{ID: d.ID(), Name: c.Settings.Name, Addr: c.Settings.AddrOf(c.Settings.Name)}
	cmd, held := raft.Rescue(saved, self, c.Lineage)
	if !held && (!c.AllowMissing || id == place.FleetGroup) {
		return Rescued{}, ErrNotHeld
	}
	if err := d.Save(id, cmd); err != nil {
		return Rescued{}, err
	}
	return Rescued{Group: id, Index: cmd.Entries[0].Index, Term: cmd.Term, Held: held}, nil
}
