package model

// VMDecl declares one VM: its properties and the pool that it starts in. The VM's own key
// in the store tells which pool it is in now.
type VMDecl struct {
	ID       VMID
	Zone     ZoneName
	Rack     RackName
	Pool     PoolName
	Address  string // host:port of the VM's runner, the server that runs requests and tasks on it
	Capacity Resources
}

// Declaration is the whole configuration, as operators keep it in version control. A change
// replaces all of it and increases Generation.
type Declaration struct {
	Generation uint64
	Change     ChangeID
	Deployment string
	Zones      []ZoneName
	VMs        []VMDecl
	Pools      []Pool
	Services   []Service
	Waves      []Wave
	Teams      []Team
	Weights    Weights
}

// Service returns the declared service of the given name, or nil if there is none.
func (d *Declaration) Service(name ServiceName) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// ServicesOf returns the services whose targets are in the pool.
func (d *Declaration) ServicesOf(pool PoolName) []*Service {
	var found []*Service
	for i := range d.Services {
		for _, p := range d.Services[i].Pools {
			if p == pool {
				found = append(found, &d.Services[i])
				break
			}
		}
	}
	return found
}
