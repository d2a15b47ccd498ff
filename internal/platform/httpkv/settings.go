package httpkv

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/strictjson"
)

// Settings are the settings of the plug-in.
type Settings struct {
	// Addresses are the TCP addresses of the service. When one fails, the next
	// one is tried.
	Addresses []netip.AddrPort `json:"addresses" jsonschema:"minItems=1,maxItems=16,uniqueItems=true"`
	// Caller identifies this process in the service's call counts.
	Caller string `json:"caller,omitempty" jsonschema:"maxLength=64"`
	// TimeoutMillis limits each attempt of a call, in milliseconds; 0 means
	// 1000.
	TimeoutMillis uint32 `json:"timeout_ms,omitempty" jsonschema:"maximum=60000"`
	// WatchMillis is how long a watch waits for a change, in milliseconds; 0
	// means 20000.
	WatchMillis uint32 `json:"watch_ms,omitempty" jsonschema:"maximum=60000"`
	// CallsPerSecond limits the calls of this process; 0 means 40.
	CallsPerSecond float64 `json:"calls_per_second,omitempty" jsonschema:"minimum=0,maximum=10000"`
	// CallBurst is how many calls may be made at once after an idle period; 0
	// means 400.
	CallBurst uint32 `json:"call_burst,omitempty" jsonschema:"maximum=10000"`
}

const (
	defaultTimeout        = time.Second
	defaultWatch          = 20 * time.Second
	defaultCallsPerSecond = 40
	defaultCallBurst      = 400
)

func decodeSettings(path string, text []byte) (Settings, error) {
	settings, err := strictjson.DecodeAt[Settings](path, text)
	if err != nil {
		return Settings{}, err
	}
	problems := &strictjson.Problems{}
	for i, address := range settings.Addresses {
		if address.Port() == 0 {
			problems.Add(strictjson.Problem{
				Path:    strictjson.IndexPath(strictjson.JoinPath(path, "addresses"), i),
				Value:   address.String(),
				Allowed: "a port above 0",
			})
		}
	}
	return settings.withDefaults(), problems.Err()
}

func (s Settings) withDefaults() Settings {
	if s.TimeoutMillis == 0 {
		s.TimeoutMillis = uint32(defaultTimeout.Milliseconds())
	}
	if s.WatchMillis == 0 {
		s.WatchMillis = uint32(defaultWatch.Milliseconds())
	}
	if s.CallsPerSecond == 0 {
		s.CallsPerSecond = defaultCallsPerSecond
	}
	if s.CallBurst == 0 {
		s.CallBurst = defaultCallBurst
	}
	return s
}

func (s Settings) timeout() time.Duration { return time.Duration(s.TimeoutMillis) * time.Millisecond }

func (s Settings) watch() time.Duration { return time.Duration(s.WatchMillis) * time.Millisecond }
