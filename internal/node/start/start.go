// Package start reads the configuration file that the platform provides to a front node at its start and at each
// reload. Its settings are those of the simulator's first message as nested objects, so internal/wire parses them by
// the same names.
package start

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"

	"rainhaven/choice"
	"rainhaven/internal/node/feed"
	"rainhaven/internal/wire"
)

// Config is the parsed configuration of a front node.
type Config struct {
	Name, Listen     string
	Coordinator      string // address
	MemoryMB         int
	MaxDescriptors   int
	LastIndex        int64        // number of the coordinator's last event known at the start
	InitialEvents    []feed.Event // describe the list of servers at the start
	Names            feed.Names
	Choice           choice.Config
	Groups           []string // names of the service groups by number
	SetupTimeout     float64  // the longest of all service groups, in seconds
	ConnectTimeout   float64  // limit for opening a connection to a server, in seconds
	IdleTimeout      float64  // after which idle connections to servers are closed, in seconds
	MaxSetupsPerConn int      // pending SETUPs that one connection to a server may carry
}

// configFile mirrors the JSON structure of the configuration file.
type configFile struct {
	Name, Listen, Seed, Coordinator string
	Limits                          struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int
	}
	Known struct {
		Index   int64
		Updates []feed.Event
	}
	Settings map[string]any
}

// defaultMaxDescriptors is the descriptor limit of a node whose file states none. No configuration of the platform
// states a higher limit.
const defaultMaxDescriptors = 1024

// Read reads and parses the configuration file at path.
func Read(path string) (*Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(b)
}

// Parse parses the content of a configuration file.
func Parse(text []byte) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	for _, a := range [][2]string{{"listen", file.Listen}, {"coordinator", file.Coordinator}} {
		if _, _, err := net.SplitHostPort(a[1]); err != nil {
			return nil, fmt.Errorf("%s: %q is not an address with a port", a[0], a[1])
		}
	}
	if file.Limits.Sockets < 0 || file.Limits.MemoryMB < 0 {
		return nil, fmt.Errorf("limits: negative value: sockets %d, memory_mb %d", file.Limits.Sockets, file.Limits.MemoryMB)
	}
	if file.Known.Index < 0 {
		return nil, fmt.Errorf("known: negative index %d", file.Known.Index)
	}
	flat := map[string]string{}
	flatten("", file.Settings, flat)
	config, err := wire.ParseConfig(flat)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	config.UnsyncedClock = true // nodes run on machines whose clocks are stepped
	if config.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %.30q is not a hexadecimal number", file.Seed)
	}
	s := &Config{Name: file.Name, Listen: file.Listen, Coordinator: file.Coordinator, MemoryMB: file.Limits.MemoryMB, MaxDescriptors: cmp.Or(file.Limits.Sockets, defaultMaxDescriptors),
		LastIndex: file.Known.Index, InitialEvents: file.Known.Updates, Choice: config}
	if len(config.Groups) == 0 || len(config.Ladder) == 0 {
		return nil, fmt.Errorf("settings: service groups or ladder are missing")
	}
	for i, g := range config.Groups {
		if g.Floor < 0 || g.Top >= len(config.Ladder) || g.Floor > g.Top {
			return nil, fmt.Errorf("settings: service group %d has rungs %d to %d, but the ladder has %d rungs", i, g.Floor, g.Top, len(config.Ladder))
		}
		prefix := fmt.Sprintf("grades.%d.", i)
		s.Groups = append(s.Groups, flat[prefix+"name"])
		us, _ := strconv.ParseFloat(flat[prefix+"hard_limit"], 64)
		s.SetupTimeout = max(s.SetupTimeout, us/1e6)
	}
	s.ConnectTimeout, s.IdleTimeout = parseMicroseconds(flat["caps.connect_timeout"]), parseMicroseconds(flat["caps.keepalive"])
	s.MaxSetupsPerConn, _ = strconv.Atoi(flat["caps.streams_per_conn"])
	s.Names = feed.Names{Zones: splitList(flat["zones"]), Kinds: splitList(flat["models"])}
	return s, nil
}

func parseMicroseconds(s string) float64 {
	us, _ := strconv.ParseFloat(s, 64)
	return us / 1e6
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

// flatten stores nested values under the dotted names that the simulator's first message uses.
func flatten(name string, v any, out map[string]string) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			if name != "" {
				k = name + "." + k
			}
			flatten(k, x, out)
		}
	case []any:
		var flat []string
		for i, x := range v {
			if _, deep := x.(map[string]any); deep {
				flatten(name+"."+strconv.Itoa(i), x, out)
				out[name+".count"] = strconv.Itoa(i + 1)
			} else {
				flat = append(flat, scalar(x))
			}
		}
		if len(flat) > 0 {
			out[name] = strings.Join(flat, ",")
		}
	case nil:
	default:
		out[name] = scalar(v)
	}
}

func scalar(v any) string {
	switch v := v.(type) {
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	case bool:
		return strconv.FormatBool(v)
	case string:
		return v
	}
	return ""
}
