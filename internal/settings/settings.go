// Package settings validates the settings of daemons and reports all invalid ones at once.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// Checker collects the problems of a process's settings.
type Checker struct {
	problems []string
}

func (c *Checker) add(name, value, fix string) {
	c.problems = append(c.problems, fmt.Sprintf("%s: %q: %s", name, value, fix))
}

// Required checks that a setting isn't empty.
func (c *Checker) Required(name, value string) {
	if value == "" {
		c.add(name, value, "give it as --"+name+" or "+EnvName(name))
	}
}

// IPPort checks that a setting is an IP address and port.
func (c *Checker) IPPort(name, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(name, value, "use IP:port; host names aren't resolved")
	}
}

// URL checks that a setting is an http URL with a host. Other schemes are rejected.
func (c *Checker) URL(name, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		c.add(name, value, "use http://IP:port")
	}
}

// Positive checks that a setting is greater than zero.
func (c *Checker) Positive(name string, value int64) {
	if value <= 0 {
		c.add(name, fmt.Sprint(value), "use a number greater than 0")
	}
}

// NotNegative checks that a setting is zero or more.
func (c *Checker) NotNegative(name string, value int64) {
	if value < 0 {
		c.add(name, fmt.Sprint(value), "use 0 or a number greater than 0")
	}
}

// AddError adds err as a problem with a setting, unless it is nil.
func (c *Checker) AddError(name, value string, err error) {
	if err != nil {
		c.add(name, value, err.Error())
	}
}

// Err returns all problems as one error, or nil.
func (c *Checker) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return errors.New("invalid settings:\n  " + strings.Join(c.problems, "\n  "))
}

// EnvName returns the environment variable of a setting: CROWBRIDGE_LOG_URL for log-url.
func EnvName(name string) string {
	return "CROWBRIDGE_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Peer is another daemon and its availability zone.
type Peer struct {
	Zone    string
	Address string
}

// ParsePeer parses zone=IP:port.
func ParsePeer(value string) (Peer, error) {
	zone, address, found := strings.Cut(value, "=")
	if !found || zone == "" {
		return Peer{}, errors.New("use zone=IP:port")
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return Peer{}, errors.New("use zone=IP:port; host names aren't resolved")
	}
	return Peer{Zone: zone, Address: address}, nil
}

// Peers parses a list of peers and collects its problems.
func (c *Checker) Peers(name string, values []string) []Peer {
	peers := make([]Peer, 0, len(values))
	for _, value := range values {
		peer, err := ParsePeer(value)
		c.AddError(name, value, err)
		peers = append(peers, peer)
	}
	return peers
}
