package ctl

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/operator"
	service "github.com/balsamlink/balsamlink/internal/standin/platform"

	_ "github.com/balsamlink/balsamlink/internal/platform/httpkv"
)

// onStandIn makes the bench use the plug-in of production against the stand-in
// of the platform.
func onStandIn(t *testing.T, b *bench) *service.Service {
	platform := service.New()
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	text := map[string]any{}
	require.NoError(t, json.Unmarshal([]byte(b.read("settings.json")), &text))
	text["platform"] = map[string]any{"plugin": "httpkv", "settings": map[string]any{
		"addresses": []string{server.Listener.Addr().String()}, "timeout_ms": 300,
	}}
	changed, err := json.Marshal(text)
	require.NoError(t, err)
	b.settings = b.write("standin.json", string(changed))
	return platform
}

// Answers of the platform are lost one after the other, it refuses for a time
// and hangs; balsamctl tells the truth and the trail stays whole.
func TestStandInPlatformFails(t *testing.T) {
	b := newBench(t)
	platform := onStandIn(t, b)
	customers, plans := b.write("customers.json", customersFile), b.write("plans.json", plansFile(1000))
	platform.Inject(service.Faults{DropResponses: 4})
	require.Contains(t, b.run(kernel.ExitOK, "apply", "--wait", "10s", customers, plans), "in force at 2 of 2 nodes")
	platform.Inject(service.Faults{Outage: service.OutageRefuse})
	b.run(ExitUnavailable, "zone", "out", "gauteng-a")
	platform.Inject(service.Faults{Outage: service.OutageHang})
	b.run(ExitUnavailable, "zone", "out", "gauteng-a")
	back := time.AfterFunc(time.Second, func() { platform.Inject(service.Faults{}) })
	defer back.Stop()
	require.Contains(t, b.run(kernel.ExitOK, "zone", "out", "gauteng-a", "--retry", "1m"), "accepted as revision 1")
	require.Contains(t, b.run(kernel.ExitOK, "apply", customers, plans), "nothing to change at revision 1")
	report := decoded[operator.AuditReport](t, b.run(kernel.ExitOK, "audit", "--json"))
	require.Len(t, report.Entries, 3)
	require.Empty(t, report.Pending)
}
