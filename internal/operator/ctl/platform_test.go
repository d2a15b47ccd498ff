package ctl

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/operator"
	standin "github.com/balsamlink/balsamlink/internal/standin/platform"

	_ "github.com/balsamlink/balsamlink/internal/platform/httpkv"
)

// usePlatformStandIn makes the test use the production plug-in with the platform
// stand-in.
func usePlatformStandIn(t *testing.T, e *testEnv) *standin.Service {
	platform := standin.New()
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	settings := map[string]any{}
	require.NoError(t, json.Unmarshal([]byte(e.read("settings.json")), &settings))
	settings["platform"] = map[string]any{"plugin": "httpkv", "settings": map[string]any{
		"addresses": []string{server.Listener.Addr().String()}, "timeout_ms": 300,
	}}
	changed, err := json.Marshal(settings)
	require.NoError(t, err)
	e.settings = e.write("standin.json", string(changed))
	return platform
}

// The platform loses successive answers, then refuses connections and hangs for a
// while. balsamctl must report the true outcome each time, and the trail must stay
// complete.
func TestStandInPlatformFails(t *testing.T) {
	e := newTestEnv(t)
	platform := usePlatformStandIn(t, e)
	customers, plans := e.write("customers.json", customersFile), e.write("plans.json", plansFile(1000))
	platform.Inject(standin.Faults{DropResponses: 4})
	require.Contains(t, e.run(kernel.ExitOK, "apply", "--wait", "10s", customers, plans), "in force at 2 of 2 nodes")
	platform.Inject(standin.Faults{Outage: standin.OutageRefuse})
	e.run(ExitUnavailable, "zone", "out", "gauteng-a")
	platform.Inject(standin.Faults{Outage: standin.OutageHang})
	e.run(ExitUnavailable, "zone", "out", "gauteng-a")
	recovery := time.AfterFunc(time.Second, func() { platform.Inject(standin.Faults{}) })
	defer recovery.Stop()
	require.Contains(t, e.run(kernel.ExitOK, "zone", "out", "gauteng-a", "--retry", "1m"), "accepted as revision 1")
	require.Contains(t, e.run(kernel.ExitOK, "apply", customers, plans), "nothing to change at revision 1")
	report := decoded[operator.AuditReport](t, e.run(kernel.ExitOK, "audit", "--json"))
	require.Len(t, report.Entries, 3)
	require.Empty(t, report.Pending)
}
