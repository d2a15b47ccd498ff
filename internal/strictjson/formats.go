package strictjson

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// The custom formats of the schemas.
const (
	formatAddrPort = "ip-port"
	formatAddr     = "ip"
	formatPrefix   = "ip-prefix"
	formatDecimal  = "decimal"
	formatInteger  = "whole"
)

// allowedByFormat describes the custom formats in English.
var allowedByFormat = map[string]string{
	formatAddrPort: `an IP address and a port, as in "127.0.0.1:8080"`,
	formatAddr:     `an IP address, as in "127.0.0.1"`,
	formatPrefix:   `an IP prefix, as in "10.0.0.0/8"`,
	formatDecimal:  `a decimal number of at most 18 digits before and 9 after the point, as in "1.25"`,
	formatInteger:  "a whole number without a point or an exponent",
}

var decimalPattern = regexp.MustCompile(`^-?[0-9]{1,18}(\.[0-9]{1,9})?$`)

var formats = []*jsonschema.Format{
	{Name: formatAddrPort, Validate: validateText(netip.ParseAddrPort)},
	{Name: formatAddr, Validate: validateText(netip.ParseAddr)},
	{Name: formatPrefix, Validate: validateText(netip.ParsePrefix)},
	{Name: formatDecimal, Validate: validateDecimal},
	{Name: formatInteger, Validate: validateInteger},
}

// validateText returns a validator for strings that parse accepts. It accepts all
// values of other types, which the type keyword of the schema rejects.
func validateText[T any](parse func(string) (T, error)) func(any) error {
	return func(value any) error {
		text, ok := value.(string)
		if !ok {
			return nil
		}
		_, err := parse(text)
		return err
	}
}

func validateDecimal(value any) error {
	text, ok := scalarText(value)
	if ok && !decimalPattern.MatchString(text) {
		return Error.New("%q is not a decimal number", text)
	}
	return nil
}

// validateInteger rejects numbers such as 1.0 and 1e3, which JSON schema counts as
// integers but encoding/json does not decode into Go integers.
func validateInteger(value any) error {
	number, ok := value.(json.Number)
	if ok && strings.ContainsAny(number.String(), ".eE") {
		return Error.New("%s is not written as a whole number", number)
	}
	return nil
}

// scalarText returns the text of a string or number, and false for other values.
func scalarText(value any) (string, bool) {
	switch value := value.(type) {
	case string:
		return value, true
	case json.Number:
		return fmt.Sprint(value), true
	default:
		return "", false
	}
}
