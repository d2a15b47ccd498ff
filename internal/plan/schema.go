package plan

import "github.com/balsamlink/balsamlink/internal/strictjson"

// Schemas returns the JSON schemas of the operators' files, keyed by the file
// names under which they are published.
func Schemas() (map[string][]byte, error) {
	schemas := map[string][]byte{}
	for name, schema := range map[string]func() ([]byte, error){
		"customers.schema.json": strictjson.Schema[Customers],
		"plans.schema.json":     strictjson.Schema[Plans],
		"out.schema.json":       strictjson.Schema[OutOfService],
	} {
		text, err := schema()
		if err != nil {
			return nil, Error.Wrap(err)
		}
		schemas[name] = text
	}
	return schemas, nil
}
