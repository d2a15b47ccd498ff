package settings

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/strictjson"
)

// maxDrainSeconds is the longest graceful shutdown, in seconds.
const maxDrainSeconds = 86400

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// checker collects the problems of settings.
type checker struct {
	problems strictjson.Problems
}

func (c *checker) add(path, value, allowed string) {
	c.problems.Add(strictjson.Problem{Path: path, Value: value, Allowed: allowed})
}

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.add(path, fmt.Sprintf("%q", name), "1 to 63 letters, digits, periods, hyphens and underscores, the first a letter or digit")
	}
}

func (c *checker) logLevel(path, level string) {
	if _, err := logrus.ParseLevel(level); level != "" && err != nil {
		c.add(path, fmt.Sprintf("%q", level), fmt.Sprintf("one of %v", logrus.AllLevels))
	}
}

func (c *checker) file(path, file string) {
	info, err := os.Stat(file)
	if err != nil {
		c.add(path, err.Error(), "a file that can be read")
		return
	}
	if !info.Mode().IsRegular() {
		c.add(path, fmt.Sprintf("%q is not a file", file), "a file that can be read")
	}
}

func (c *checker) keyFiles(path string, files keys.Files) {
	c.file(path+".authority", files.Authority)
	c.file(path+".certificate", files.Certificate)
	c.file(path+".key", files.Key)
	c.file(path+".shared", files.Shared)
}

// address checks an address that other processes connect to.
func (c *checker) address(path string, address netip.AddrPort) {
	if !address.IsValid() || address.Addr().IsUnspecified() || address.Port() == 0 {
		c.add(path, address.String(), "the IP address of one interface and a port above 0")
	}
}

func (c *checker) addresses(path string, addresses []netip.AddrPort) {
	for i, address := range addresses {
		c.address(strictjson.IndexPath(path, i), address)
	}
}

// ipv4 checks an address that becomes part of connection IDs.
func (c *checker) ipv4(path string, address netip.AddrPort) {
	c.address(path, address)
	if address.IsValid() && !address.Addr().Is4() {
		c.add(path, address.String(), "an IPv4 address, because connection IDs contain it")
	}
}

func (c *checker) plugin(path string, kind kernel.PluginKind, plugin Plugin) {
	names := kernel.PluginNames(kind)
	if !slices.Contains(names, plugin.Plugin) {
		c.add(strictjson.JoinPath(path, "plugin"), fmt.Sprintf("%q", plugin.Plugin), "one of "+strings.Join(names, ", "))
	}
}

// reportDuplicates reports each value that equals an earlier one. The parameter
// what names the kind of value in the message.
func reportDuplicates[T comparable](c *checker, what string, paths []string, values []T) {
	first := map[T]string{}
	for i, value := range values {
		if other, taken := first[value]; taken {
			c.add(paths[i], fmt.Sprint(value), fmt.Sprintf("a %s that differs from that of %s", what, other))
			continue
		}
		first[value] = paths[i]
	}
}

func (n *Node) check(c *checker) {
	c.name("node.name", string(n.Name))
	c.name("node.zone", string(n.Zone))
	c.logLevel("node.log_level", n.LogLevel)
	c.keyFiles("node.keys", n.Keys)
	c.address("node.control", n.Control)
	c.ipv4("node.data", n.Data)
	if n.Admin.Port() == 0 {
		c.add("node.operators", n.Admin.String(), "an IP address and a port above 0")
	}
	c.addresses("node.seeds", n.Seeds)
	if n.DrainSeconds <= 0 || n.DrainSeconds > maxDrainSeconds {
		c.add("node.drain_seconds", fmt.Sprint(n.DrainSeconds), fmt.Sprintf("more than 0 and at most %d", maxDrainSeconds))
	}
	// The platform is optional: without it, documents come from peers only.
	if n.Platform.Plugin != "" {
		c.plugin("node.platform", kernel.KindPlatform, n.Platform)
	}
	n.checkZones(c)
}

func (n *Node) checkZones(c *checker) {
	if len(n.Zones) == 0 {
		return
	}
	var paths []string
	var tags []model.ZoneTag
	for i, zone := range n.Zones {
		path := strictjson.IndexPath("node.zones", i)
		c.name(path, string(zone))
		paths = append(paths, path)
		tags = append(tags, zone.Tag())
	}
	reportDuplicates(c, "zone", paths, n.Zones)
	reportDuplicates(c, "zone tag", paths, tags)
	if !slices.Contains(n.Zones, n.Zone) {
		c.add("node.zone", fmt.Sprintf("%q", n.Zone), fmt.Sprintf("one of node.zones: %v", n.Zones))
	}
}

func (n *Node) resolve(folder string) { resolveKeys(folder, &n.Keys) }

func resolveKeys(folder string, files *keys.Files) {
	resolve(folder, &files.Authority, &files.Certificate, &files.Key, &files.Shared)
}

func (b *Balancer) resolve(folder string) { b.Node.resolve(folder) }

func (b *Balancer) check(c *checker) {
	b.Node.check(c)
	c.plugin("fabric", kernel.KindFabric, b.Fabric)
	reportDuplicates(c, "TCP address", []string{"node.control", "node.operators"},
		[]netip.AddrPort{b.Node.Control, b.Node.Admin})
	if len(b.Services) == 0 {
		c.add("services", "[]", "at least one service")
	}
	b.checkServices(c)
}

func (b *Balancer) checkServices(c *checker) {
	var paths, addressPaths []string
	var names []model.Service
	var tags []model.ServiceTag
	var addresses []netip.AddrPort
	for i, service := range b.Services {
		path := strictjson.IndexPath("services", i)
		paths = append(paths, strictjson.JoinPath(path, "name"))
		addressPaths = append(addressPaths, strictjson.JoinPath(path, "address"))
		c.name(paths[i], string(service.Name))
		c.address(addressPaths[i], service.Address)
		names = append(names, service.Name)
		tags = append(tags, service.Name.Tag())
		addresses = append(addresses, service.Address)
	}
	reportDuplicates(c, "service name", paths, names)
	reportDuplicates(c, "service address", addressPaths, addresses)
	reportDuplicates(c, "service tag", paths, tags)
}

func (a *Agent) resolve(folder string) {
	a.Node.resolve(folder)
	resolve(folder, &a.Certificate, &a.Key)
}

func (a *Agent) check(c *checker) {
	a.Node.check(c)
	c.name("service", string(a.Service))
	c.file("certificate", a.Certificate)
	c.file("key", a.Key)
	c.plugin("target", kernel.KindTarget, a.Target)
	c.plugin("credential", kernel.KindCredential, a.Credential)
	c.address("relay", a.Relay)
	reportDuplicates(c, "TCP address", []string{"node.control", "node.operators", "relay"},
		[]netip.AddrPort{a.Node.Control, a.Node.Admin, a.Relay})
}

func (o *Operator) resolve(folder string) { resolveKeys(folder, &o.Keys) }

func (o *Operator) check(c *checker) {
	c.keyFiles("keys", o.Keys)
	c.addresses("seeds", o.Seeds)
	c.plugin("platform", kernel.KindPlatform, o.Platform)
}
