package strictjson_test

import (
	"encoding/json"
	"errors"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/shopspring/decimal"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/strictjson"
)

type name string

type shop struct {
	Name    name            `json:"name" jsonschema:"minLength=1"`
	Address netip.AddrPort  `json:"address"`
	Backup  *netip.AddrPort `json:"backup,omitempty"`
	Price   decimal.Decimal `json:"price"`
	Slots   uint16          `json:"slots" jsonschema:"minimum=1"`
	Weight  float64         `json:"weight,omitempty"`
	Extra   json.RawMessage `json:"extra,omitempty"`
}

type mall struct {
	Shops []shop   `json:"shops"`
	Main  shop     `json:"main"`
	Tags  []string `json:"tags,omitempty"`
}

const goodShop = `{"name":"a","address":"127.0.0.1:1","price":"1.25","slots":3}`

func problemsOf(t require.TestingT, err error) []strictjson.Problem {
	var problems *strictjson.Problems
	require.True(t, errors.As(err, &problems), "%v", err)
	require.True(t, strictjson.Error.Has(err))
	return problems.List
}

func TestEveryProblemIsReportedWithItsPath(t *testing.T) {
	document := `{"shops":[` + goodShop + `,
		{"name":"","address":"localhost:80","price":"1e9","slots":0,"colour":"red"},
		{"name":7,"address":"[::1]:2","price":1.5,"slots":70000,"slots":1.0}],
		"main":{"name":"m","price":"free","slots":-1,"weight":"heavy"},
		"Tags":["x"],"tags":["x",2]}`
	_, err := strictjson.Decode[mall]([]byte(document))
	var lines []string
	for _, problem := range problemsOf(t, err) {
		lines = append(lines, problem.Path+" = "+problem.Value)
		require.NotEmpty(t, problem.Allowed, problem.Path)
	}
	require.ElementsMatch(t, []string{
		`shops[2].slots = repeated field`,
		`Tags = unknown field with value ["x"]`,
		`main.address = missing`,
		`main.price = "free"`,
		`main.slots = -1`,
		`main.weight = "heavy"`,
		`shops[1].address = "localhost:80"`,
		`shops[1].colour = unknown field with value "red"`,
		`shops[1].name = ""`,
		`shops[1].price = "1e9"`,
		`shops[1].slots = 0`,
		`shops[2].name = 7`,
		`shops[2].slots = 1.0`,
		`tags[1] = 2`,
	}, lines)
	require.Contains(t, err.Error(), "the fields address, backup, extra, name, price, slots, weight")
	require.Contains(t, err.Error(), "at least 1, at most 65535")
}

func TestMalformedDocumentsAreRefused(t *testing.T) {
	cases := map[string]string{
		"trailing data":   goodShop + ` {}`,
		"cut short":       goodShop[:20],
		"empty":           ``,
		"invalid UTF-8":   strings.Replace(goodShop, `"a"`, "\"\xff\"", 1),
		"huge number":     strings.Replace(goodShop, `3`, `1e999999999`, 1),
		"null":            `null`,
		"nested deeply":   `{"extra":` + strings.Repeat("[", 100) + strings.Repeat("]", 100) + `}`,
		"oversized":       `"` + strings.Repeat("a", strictjson.MaxSize) + `"`,
		"other case":      strings.Replace(goodShop, `"name"`, `"NAME"`, 1),
		"absurd decimals": strings.Replace(goodShop, `"1.25"`, `"1.0000000000000001"`, 1),
	}
	for fault, document := range cases {
		t.Run(fault, func(t *testing.T) {
			value, err := strictjson.DecodeAt[shop]("node.platform.settings", []byte(document))
			problems := problemsOf(t, err)
			require.NotEmpty(t, problems)
			require.True(t, strings.HasPrefix(problems[0].Path, "node.platform.settings"), problems[0].Path)
			require.Less(t, len(problems[0].Value), 200)
			require.Equal(t, shop{}, value)
		})
	}
}

func drawShop(t *rapid.T) shop {
	port := rapid.Uint16().Draw(t, "port")
	cents := rapid.Int64Range(-1e15, 1e15).Draw(t, "cents")
	return shop{
		Name:    name(rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "name")),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port),
		Price:   decimal.New(cents, -2),
		Slots:   rapid.Uint16Min(1).Draw(t, "slots"),
		Weight:  rapid.Float64Range(-1e6, 1e6).Draw(t, "weight"),
	}
}

// A marshalled value decodes to itself. When one required field is misnamed, the
// error names exactly the missing field and the unknown ones, with their paths.
func TestRoundTripAndSingleFault(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := mall{Main: drawShop(t), Shops: []shop{}}
		for range rapid.IntRange(0, 3).Draw(t, "shops") {
			value.Shops = append(value.Shops, drawShop(t))
		}
		text, err := json.Marshal(value)
		require.NoError(t, err)
		decoded, err := strictjson.Decode[mall](text)
		require.NoError(t, err)
		again, err := json.Marshal(decoded)
		require.NoError(t, err)
		require.JSONEq(t, string(text), string(again))

		field := rapid.SampledFrom([]string{"name", "address", "price", "slots"}).Draw(t, "field")
		broken := strings.Replace(string(text), `"main":{`, `"main":{"x`+field+`":1,`, 1)
		start := strings.Index(broken, `"main":{`)
		broken = broken[:start] + strings.Replace(broken[start:], `"`+field+`"`, `"y`+field+`"`, 1)
		_, err = strictjson.Decode[mall]([]byte(broken))
		var paths []string
		for _, problem := range problemsOf(t, err) {
			paths = append(paths, problem.Path)
		}
		slices.Sort(paths)
		require.Equal(t, []string{"main." + field, "main.x" + field, "main.y" + field}, paths)
	})
}

// Decode must not panic, must report each failure as *Problems, and must not accept
// a document that lacks a required field or breaks a minimum.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(goodShop))
	f.Add([]byte(`{"name":{"name":[1e400]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		value, err := strictjson.Decode[shop](data)
		if err != nil {
			problemsOf(t, err)
			return
		}
		if value.Name == "" || value.Slots == 0 || !value.Address.IsValid() {
			t.Fatalf("accepted %q as %+v", data, value)
		}
	})
}
