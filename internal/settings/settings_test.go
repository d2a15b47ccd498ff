package settings_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/devcerts"
	"github.com/balsamlink/balsamlink/internal/settings"
	"github.com/balsamlink/balsamlink/internal/strictjson"

	_ "github.com/balsamlink/balsamlink/internal/credential/bearer"
	_ "github.com/balsamlink/balsamlink/internal/fabric/proxyv2"
	_ "github.com/balsamlink/balsamlink/internal/platform/httpkv"
	_ "github.com/balsamlink/balsamlink/internal/target/http1"
)

const goodNode = `{
	"name": "lb-1", "zone": "gauteng-a", "zones": ["gauteng-a", "gauteng-b"],
	"keys": {"authority": "authority.pem", "certificate": "lb-1.pem", "key": "lb-1.key", "shared": "shared.keys"},
	"control": "127.0.0.1:7001", "data": "127.0.0.1:7002", "operators": "127.0.0.1:7003",
	"seeds": ["127.0.0.2:7001"], "drain_seconds": 30,
	"platform": {"plugin": "httpkv", "settings": {"addresses": ["127.0.0.9:7000"]}}}`

const goodBalancer = `{"node": ` + goodNode + `,
	"services": [{"name": "memberdesk", "address": "127.0.1.1:443"}, {"name": "proofroom", "address": "127.0.1.2:443"}],
	"fabric": {"plugin": "proxyv2"}}`

const goodAgent = `{"node": ` + goodNode + `, "service": "memberdesk",
	"certificate": "service-memberdesk.pem", "key": "service-memberdesk.key",
	"target": {"plugin": "http1"}, "credential": {"plugin": "bearer"}, "relay": "127.0.0.1:7004"}`

func makeFolder(t *testing.T) string {
	folder := t.TempDir()
	request := devcerts.Request{Directory: folder, Nodes: []string{"lb-1"}, Services: []string{"memberdesk"}}
	require.NoError(t, devcerts.Generate(request))
	return folder
}

func writeSettings(t *testing.T, folder, text string) string {
	path := filepath.Join(folder, "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadValidSettings(t *testing.T) {
	folder := makeFolder(t)
	balancer, err := settings.Load[settings.Balancer](writeSettings(t, folder, goodBalancer))
	require.NoError(t, err)
	require.Equal(t, filepath.Join(folder, "lb-1.pem"), balancer.Node.Keys.Certificate)
	require.Len(t, balancer.Services, 2)
	agent, err := settings.Load[settings.Agent](writeSettings(t, folder, goodAgent))
	require.NoError(t, err)
	require.Equal(t, filepath.Join(folder, "service-memberdesk.key"), agent.Key)
	var node struct {
		Keys     json.RawMessage `json:"keys"`
		Platform json.RawMessage `json:"platform"`
	}
	require.NoError(t, json.Unmarshal([]byte(goodNode), &node))
	text, err := json.Marshal(map[string]any{"author": "anele", "keys": node.Keys, "platform": node.Platform})
	require.NoError(t, err)
	_, err = settings.Load[settings.Operator](writeSettings(t, folder, string(text)))
	require.NoError(t, err)
}

// TestEachProblemNamesItsField checks that each problem is reported with the
// path of its field, and that independent problems are reported together.
func TestEachProblemNamesItsField(t *testing.T) {
	folder := makeFolder(t)
	cases := []struct{ old, new, path string }{
		{`"lb-1", "zone"`, `"lb 1", "zone"`, "node.name"},
		{`"zone": "gauteng-a"`, `"zone": "gauteng-c"`, "node.zone"},
		{`"gauteng-b"]`, `"gauteng-a"]`, "node.zones[1]"},
		{`"authority.pem"`, `"none.pem"`, "node.keys.authority"},
		{`"shared.keys"`, `"."`, "node.keys.shared"},
		{`"127.0.0.1:7001"`, `"0.0.0.0:7001"`, "node.control"},
		{`"127.0.0.1:7001"`, `"vm-1:7001"`, "node.control"},
		{`"127.0.0.1:7002"`, `"[::1]:7002"`, "node.data"},
		{`"127.0.0.1:7003"`, `"127.0.0.1:7001"`, "node.operators"},
		{`"127.0.0.2:7001"`, `"127.0.0.2:0"`, "node.seeds[0]"},
		{`"drain_seconds": 30`, `"drain_seconds": 0`, "node.drain_seconds"},
		{`"drain_seconds": 30`, `"drain_seconds": -1`, "node.drain_seconds"},
		{`"drain_seconds": 30`, `"drain_seconds": 30, "log_level": "loud"`, "node.log_level"},
		{`"httpkv"`, `"etc"`, "node.platform.plugin"},
		{`"proxyv2"`, `"httpkv"`, "fabric.plugin"},
		{`"proofroom"`, `"memberdesk"`, "services[1].name"},
		{`"127.0.1.2:443"`, `"127.0.1.1:443"`, "services[1].address"},
		{`"proofroom"`, `"proof room"`, "services[1].name"},
		{`"services"`, `"service"`, "services"},
	}
	for _, c := range cases {
		t.Run(c.path+" "+c.new, func(t *testing.T) {
			require.Contains(t, goodBalancer, c.old)
			_, err := settings.Load[settings.Balancer](writeSettings(t, folder, strings.Replace(goodBalancer, c.old, c.new, 1)))
			require.True(t, settings.Error.Has(err), "%v", err)
			var problems *strictjson.Problems
			require.True(t, errors.As(err, &problems), "%v", err)
			require.Contains(t, pathsOf(problems), c.path)
		})
	}
	text := strings.NewReplacer(`"service-memberdesk.pem"`, `"none.pem"`, `"http1"`, `""`, `"bearer"`, `"basic"`,
		`"127.0.0.1:7004"`, `"127.0.0.1:7003"`).Replace(goodAgent)
	_, err := settings.Load[settings.Agent](writeSettings(t, folder, text))
	var problems *strictjson.Problems
	require.True(t, errors.As(err, &problems), "%v", err)
	require.Equal(t, []string{"certificate", "target.plugin", "credential.plugin", "relay"}, pathsOf(problems))
	require.ErrorContains(t, err, `target.plugin: ""; allowed: one of http1`)
	_, err = settings.Load[settings.Agent](filepath.Join(folder, "none.json"))
	require.True(t, settings.Error.Has(err))
}

func pathsOf(problems *strictjson.Problems) []string {
	var paths []string
	for _, problem := range problems.List {
		paths = append(paths, problem.Path)
	}
	return paths
}
