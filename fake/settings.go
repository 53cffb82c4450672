package fake

import (
	"fmt"
	"net"
	"strconv"

	"lavenderwing.example/lavenderwing/conf"
)

// HostSettings describes a host of the stand-in and its executor.
type HostSettings struct {
	Name        string
	Pool        string
	Zone        string
	Rack        string
	Address     string
	Slots       int
	Connections int
}

// Settings describes a stand-in.
type Settings struct {
	// Listen is the address of the log, the host list and the control interface.
	Listen string
	// RetainedEntries is the number of newest entries that each stream retains.
	RetainedEntries int
	Hosts           []HostSettings
}

// Defaults and upper bounds of the settings.
const (
	maxRetained         = 10_000_000
	defaultRetained     = 1_000_000
	maxHosts            = 5000
	maxPort             = 65535
	defaultSlots        = 8
	defaultConnections  = 64
	defaultHostsPerRack = 4
	maxConnections      = 4096
)

// Load reads the settings of a stand-in from a file.
func Load(path string) (Settings, error) {
	file, err := conf.Open(path)
	if err != nil {
		return Settings{}, err
	}
	main := file.Section("standin")
	s := Settings{Listen: main.Address("listen"), RetainedEntries: main.Int("keep", defaultRetained, 1, maxRetained)}
	for _, pool := range file.SectionNames("pool") {
		s.Hosts = append(s.Hosts, loadPool(file, pool)...)
	}
	return s, file.Err()
}

// loadPool returns the hosts of a pool, distributed over its zones in turn and within each zone over racks.
func loadPool(file *conf.File, pool string) []HostSettings {
	name := "pool " + pool
	section := file.Section(name)
	zones := section.List("zones")
	if len(zones) == 0 {
		file.AddProblem(name, "zones", "", "at least one availability zone")
		return nil
	}
	firstAddress := section.Address("firstAddress")
	count := section.Int("hosts", 0, 1, maxHosts)
	slots := section.Int("slots", defaultSlots, 1, maxConnections)
	connections := section.Int("connections", defaultConnections, 1, maxConnections)
	hostsPerRack := section.Int("hostsPerRack", defaultHostsPerRack, 1, maxHosts)
	ip, portText, err := net.SplitHostPort(firstAddress)
	if err != nil {
		return nil
	}
	port, _ := strconv.Atoi(portText)
	if port+count > maxPort {
		file.AddProblem(name, "firstAddress", firstAddress, "a port that leaves room for all hosts")
		return nil
	}
	hosts := make([]HostSettings, 0, count)
	for i := range count {
		zone := zones[i%len(zones)]
		hosts = append(hosts, HostSettings{
			Name:        fmt.Sprintf("%s-%d", pool, i+1),
			Pool:        pool,
			Zone:        zone,
			Rack:        fmt.Sprintf("%s-%s-%d", pool, zone, i/len(zones)/hostsPerRack+1),
			Address:     net.JoinHostPort(ip, strconv.Itoa(port+i)),
			Slots:       slots,
			Connections: connections,
		})
	}
	return hosts
}
