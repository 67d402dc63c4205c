// Package start reads the file that the platform gives a front node at its start and at each reload. Its settings are
// the simulator's first message as nested objects, so internal/wire reads them, by the same names.
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

// Start is what a front node begins with.
type Start struct {
	Name, Listen     string
	Coordinator      string // its address
	MemoryMB         int
	MaxDescriptors   int // descriptors at most
	LastIndex        int64
	InitialEvents    []feed.Event
	Names            feed.Names
	Config           choice.Config
	Groups           []string // service groups' names, by number
	SetupTimeout     float64  // the longest that a service group has, in seconds
	ConnectTimeout   float64  // seconds that a connection to a server may take
	IdleTimeout      float64  // seconds after which idle ones are closed
	MaxSetupsPerConn int      // SETUPs that one connection may carry together
}

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

// defaultMaxDescriptors is how many descriptors a node reckons with where its file names no limit: the most that it is given on any day.
const defaultMaxDescriptors = 1024

// Read reads the file.
func Read(path string) (*Start, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(b)
}

// Parse reads a file's text.
func Parse(text []byte) (*Start, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	for _, a := range [][2]string{{"listen", file.Listen}, {"coordinator", file.Coordinator}} {
		if _, _, err := net.SplitHostPort(a[1]); err != nil {
			return nil, fmt.Errorf("%s: %q is no address with a port", a[0], a[1])
		}
	}
	if file.Limits.Sockets < 0 || file.Limits.MemoryMB < 0 {
		return nil, fmt.Errorf("limits: %d sockets, %d MB", file.Limits.Sockets, file.Limits.MemoryMB)
	}
	if file.Known.Index < 0 {
		return nil, fmt.Errorf("known: index %d", file.Known.Index)
	}
	flat := map[string]string{}
	flatten("", file.Settings, flat)
	config, err := wire.ParseStartFigures(flat)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	config.UnsyncedClock = true // processes on machines whose clocks are stepped
	if config.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed %.30q is not a number in hex", file.Seed)
	}
	s := &Start{Name: file.Name, Listen: file.Listen, Coordinator: file.Coordinator, MemoryMB: file.Limits.MemoryMB, MaxDescriptors: cmp.Or(file.Limits.Sockets, defaultMaxDescriptors),
		LastIndex: file.Known.Index, InitialEvents: file.Known.Updates, Config: config}
	if len(config.Groups) == 0 || len(config.Ladder) == 0 {
		return nil, fmt.Errorf("settings: no service groups or no ladder")
	}
	for i, g := range config.Groups {
		if g.Floor < 0 || g.Top >= len(config.Ladder) || g.Floor > g.Top {
			return nil, fmt.Errorf("settings: service group %d has rungs %d to %d of %d", i, g.Floor, g.Top, len(config.Ladder))
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

// flatten puts nested values under the names that the simulator's first message has.
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
