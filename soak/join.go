package soak

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/fake"
)

const (
	// _seedHosts is the number of control hosts that the others are told at first.
	_seedHosts = 3
	// _firstHostNumber is the last number of the first control host's IP address.
	_firstHostNumber = 11
)

// addJoiningControls configures control hosts that discover each other through the
// first ones. Each has an IP address of its own, and all use the same two ports.
func (f *fleet) addJoiningControls() ([]config.Host, error) {
	var bases [2]netip.AddrPort
	for k := range bases {
		addr, err := fake.FreeAddr(f.ctx)
		if err != nil {
			return nil, err
		}
		bases[k] = netip.MustParseAddrPort(addr)
	}
	var join []string
	for n := range _seedHosts {
		join = append(join, hostAddr(bases[0], n))
	}
	var seeds []config.Host
	for n := range f.cfg.Controls {
		name := fmt.Sprint("c", n+1)
		f.controls = append(f.controls, config.Control{
			Name: name, Center: _centers[n%len(_centers)], Data: filepath.Join(f.cfg.Folder, name),
			API: hostAddr(bases[0], n), Peer: hostAddr(bases[1], n), Key: _key,
			Join: join, First: true, Losses: f.cfg.Losses,
		})
		if n < _seedHosts {
			seeds = append(seeds, config.Host{Name: name, Addr: hostAddr(bases[1], n)})
		}
	}
	f.controlCount = f.cfg.Controls
	return seeds, nil
}

// hostAddr returns the address of the nth control host at the base's port.
func hostAddr(base netip.AddrPort, n int) string {
	ip := base.Addr().As4()
	ip[3] = byte(_firstHostNumber + n)
	return netip.AddrPortFrom(netip.AddrFrom4(ip), base.Port()).String()
}

// loseDisk removes the data folder of a control host, which must not run.
func (f *fleet) loseDisk(n int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controls[n].First = false
	if err := os.RemoveAll(f.controls[n].Data); err != nil {
		return errors.Errorf("remove data folder of %s: %w", f.controls[n].Name, err)
	}
	return nil
}

// replaceControl puts an empty control host with another name and address in the
// place of one. It is told the same hosts to join as all others at first.
func (f *fleet) replaceControl(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controlCount++
	c := &f.controls[n]
	c.Name = fmt.Sprint("c", f.controlCount)
	c.Data = filepath.Join(f.cfg.Folder, c.Name)
	c.API = hostAddr(netip.MustParseAddrPort(c.API), f.controlCount-1)
	c.Peer = hostAddr(netip.MustParseAddrPort(c.Peer), f.controlCount-1)
	c.First = false
}
