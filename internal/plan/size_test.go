package plan

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/model"
)

// customerList returns a list of n customers with one credential each.
func customerList(n int) Customers {
	list := Customers{}
	for i := range n {
		name := model.Customer(fmt.Sprintf("customer-%05d", i))
		list.Customers = append(list.Customers, Customer{Name: name, Plan: "studio", CredentialSHA256: []string{fmt.Sprintf("%064x", i)}})
	}
	return list
}

// MaxContentSize is 917,504 bytes: 6900 customers fit, 7200 do not.
func TestListsAboveTheSizeLimitAreRefused(t *testing.T) {
	_, err := EncodeContent(customerList(6900))
	require.NoError(t, err)
	_, err = EncodeContent(customerList(7200))
	require.ErrorContains(t, err, "larger than 917504")
}

// BenchmarkDecodeDocument measures how a node decodes a newly accepted document.
// A list of 7000 customers nearly fills MaxContentSize.
func BenchmarkDecodeDocument(b *testing.B) {
	for _, n := range []int{100, 7000} {
		document := Document{Header: Header{Revision: 1, ChangeID: "c"}, Content: customerList(n)}
		body, err := document.Encode()
		require.NoError(b, err)
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			for b.Loop() {
				_, err := DecodeDocument(model.DocumentCustomers, body)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(body))/float64(n), "bytes/customer")
		})
	}
}
