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
	text, ok := scalar(value)
	if ok && !decimalPattern.MatchString(text) {
		return Error.New("%q is not a decimal number", text)
	}
	return nil
}

func validateInteger(value any) error {
	number, ok := value.(json.Number)
	if ok && strings.ContainsAny(number.String(), ".eE") {
		return Error.New("%s is not written as a whole number", number)
	}
	return nil
}

func scalar(value any) (string, bool) {
	switch value := value.(type) {
	case string:
		return value, true
	case json.Number:
		return fmt.Sprint(value), true
	default:
		return "", false
	}
}
