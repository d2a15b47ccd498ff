package plan

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	"github.com/shopspring/decimal"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/strictjson"
)

func hash(digit string) string { return strings.Repeat(digit, credentialSize) }

func price(text string) decimal.Decimal { return decimal.RequireFromString(text) }

func memberdeskAllowance(units uint64) Allowance {
	return Allowance{Service: "memberdesk", RequestsPerSecond: 5, Burst: 10, InFlight: 4, UnitsPerMonth: units, UnitPrice: price("0.25")}
}

func TestSnapshotLooksUpTheDocuments(t *testing.T) {
	customers := Customers{Customers: []Customer{
		{Name: "paarl-print", Plan: "studio", CredentialSHA256: []string{hash("A")}},
		{Name: "durban-ends", Plan: "gone"},
	}}
	plans := Plans{Currency: "ZAR", Plans: []Plan{{Name: "studio", Allowances: []Allowance{memberdeskAllowance(10)}}}}
	out := OutOfService{Zones: []model.Zone{"gauteng-a"}, Targets: []model.NodeID{"agent-3"}}
	snapshot, err := NewSnapshot(customers, plans, out, model.Revisions{3, 2, 1})
	require.NoError(t, err)
	customer, known := snapshot.CustomerByCredential(hash("a"))
	require.True(t, known)
	require.Equal(t, model.Customer("paarl-print"), customer)
	allowance, allowed := snapshot.Allowance("paarl-print", "memberdesk")
	require.True(t, allowed)
	require.Equal(t, uint64(10), allowance.UnitsPerMonth)
	for _, refused := range []struct {
		customer model.Customer
		service  model.Service
	}{{"paarl-print", "proofroom"}, {"durban-ends", "memberdesk"}, {"nobody", "memberdesk"}} {
		_, allowed = snapshot.Allowance(refused.customer, refused.service)
		require.False(t, allowed, refused)
	}
	require.Equal(t, []bool{true, false, true, false}, []bool{
		snapshot.ZoneOut("gauteng-a"), snapshot.ZoneOut("gauteng-b"), snapshot.TargetOut("agent-3"), snapshot.TargetOut("agent-4"),
	})
	require.Equal(t, model.Revisions{3, 2, 1}, snapshot.Revisions())
}

func TestInvalidContentNamesTheField(t *testing.T) {
	invalidRate, negativeFee := memberdeskAllowance(1), Plan{Name: "p", MonthlyFee: price("-1")}
	invalidRate.RequestsPerSecond = math.NaN()
	huge := Plan{Name: "p", MonthlyFee: decimal.New(1, math.MaxInt32)}
	for path, content := range map[string]Content{
		"customers":                         Customers{},
		"customers[1].name":                 Customers{Customers: []Customer{{Name: "a", Plan: "p"}, {Name: "a", Plan: "p"}}},
		"customers[0].plan":                 Customers{Customers: []Customer{{Name: "a"}}},
		"customers[0].credential_sha256[0]": Customers{Customers: []Customer{{Name: "a", Plan: "p", CredentialSHA256: []string{"beef"}}}},
		"customers[1].credential_sha256[0]": Customers{Customers: []Customer{
			{Name: "a", Plan: "p", CredentialSHA256: []string{hash("b")}},
			{Name: "b", Plan: "p", CredentialSHA256: []string{hash("B")}},
		}},
		"currency":                 Plans{Currency: "rand", Plans: []Plan{}},
		"plans[0].monthly_fee":     Plans{Currency: "ZAR", Plans: []Plan{negativeFee}},
		"plans[1].monthly_fee":     Plans{Currency: "ZAR", Plans: []Plan{{Name: "q"}, huge}},
		"plans[0].allowances[0].r": Plans{Currency: "ZAR", Plans: []Plan{{Name: "p", Allowances: []Allowance{invalidRate}}}},
		"zones[1]":                 OutOfService{Zones: []model.Zone{"a", "a"}},
		"targets[0]":               OutOfService{Targets: []model.NodeID{" a"}},
	} {
		err := content.Check()
		require.Error(t, err, path)
		var problems *strictjson.Problems
		require.ErrorAs(t, err, &problems, path)
		require.Len(t, problems.List, 1, path)
		require.True(t, strings.HasPrefix(problems.List[0].Path, path), "%s: %v", path, problems)
	}
	oversized := make([]byte, MaxDocumentSize+1)
	_, err := DecodeDocument(model.DocumentPlans, oversized)
	require.ErrorContains(t, err, "larger than")
}

func drawCustomers(t *rapid.T) Customers {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 4, rapid.ID).Draw(t, "names")
	list := Customers{Customers: []Customer{}}
	for _, name := range names {
		list.Customers = append(list.Customers, Customer{
			Name:             model.Customer(name),
			Plan:             Name(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "plan")),
			CredentialSHA256: rapid.SampledFrom([][]string{nil, {hash(name)}, {hash(name), strings.Repeat(name+"0", 32)}}).Draw(t, "hashes"),
		})
	}
	return list
}

func drawPlans(t *rapid.T) Plans {
	list := Plans{Currency: rapid.SampledFrom([]string{"ZAR", "VND"}).Draw(t, "currency"), Plans: []Plan{}}
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"p", "q", "r"}), 0, 3, rapid.ID).Draw(t, "plans") {
		plan := Plan{Name: Name(name), MonthlyFee: price(rapid.SampledFrom([]string{"1", "1.00", "10e-1", "12.5"}).Draw(t, "fee"))}
		for _, service := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"x", "y"}), 0, 2, rapid.ID).Draw(t, "services") {
			allowance := memberdeskAllowance(rapid.Uint64Range(0, 3).Draw(t, "units"))
			allowance.Service = model.Service(service)
			plan.Allowances = append(plan.Allowances, allowance)
		}
		list.Plans = append(list.Plans, plan)
	}
	return list
}

func TestEqualContentsHaveEqualEncodings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		customers, plans := drawCustomers(t), drawPlans(t)
		order := rapid.Permutation(customers.Customers).Draw(t, "order")
		shuffled := Customers{Customers: append([]Customer{}, order...)}
		first, err := EncodeContent(customers)
		require.NoError(t, err)
		second, err := EncodeContent(shuffled)
		require.NoError(t, err)
		require.Equal(t, string(first), string(second))
		for _, content := range []Content{customers, plans} {
			document := Document{Header: Header{Revision: 1, ChangeID: "c"}, Content: content}
			body, err := document.Encode()
			require.NoError(t, err)
			decoded, err := DecodeDocument(content.Kind(), body)
			require.NoError(t, err)
			require.True(t, Equal(content, decoded.Content))
		}
	})
}

func FuzzDecodeDocument(f *testing.F) {
	for _, content := range []string{
		`{"customers":[{"name":"a","plan":"p","credential_sha256":[]}]}`,
		`{"currency":"ZAR","plans":[{"name":"p","monthly_fee":"1e999999999","allowances":[]}]}`,
		`{"zones":["a"],"targets":null}`,
	} {
		f.Add(uint8(0), []byte(`{"revision":1,"change_id":"c","content":`+content+`}`))
	}
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		document, err := DecodeDocument(model.DocumentKind(kind%model.DocumentCount), body)
		if err != nil {
			return
		}
		encoded, err := document.Encode()
		if err != nil {
			return // the normalized form may exceed the size limit
		}
		require.True(t, json.Valid(encoded))
		decoded, err := DecodeDocument(model.DocumentKind(kind%model.DocumentCount), encoded)
		require.NoError(t, err)
		require.True(t, Equal(document.Content, decoded.Content))
	})
}
