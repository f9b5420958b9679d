package view

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of a list of instances; equal lists have equal hashes.
func Digest(list []Instance) uint64 {
	d := xxhash.New()
	for _, i := range list {
		_, _ = d.WriteString(i.ID + "\x00" + i.Service + "\x00" + i.Addr + "\x00")
		_, _ = d.WriteString(strconv.FormatBool(i.Leaving) + "\x00" + strconv.FormatInt(i.Born, 10) + "\x00" + strconv.Itoa(i.Slots) + "\n")
	}
	return d.Sum64()
}
