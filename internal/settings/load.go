package settings

import (
	"os"
	"path/filepath"

	"github.com/balsamlink/balsamlink/internal/strictjson"
)

// selfChecking is implemented by settings with checks beyond their JSON schema.
type selfChecking interface {
	// resolve makes relative file paths absolute, relative to a folder.
	resolve(folder string)
	// check reports the problems that the JSON schema can't express.
	check(c *checker)
}

// Load reads and validates the settings file of a program. Relative paths in the
// file are relative to its folder. Errors about the contents wrap
// *strictjson.Problems. If the file does not match the JSON schema, the other
// checks are skipped.
func Load[T any](path string) (T, error) {
	var none T
	text, err := os.ReadFile(path)
	if err != nil {
		return none, Error.Wrap(err)
	}
	value, err := strictjson.Decode[T](text)
	if err != nil {
		return none, Error.New("%s: %w", path, err)
	}
	settings, ok := any(&value).(selfChecking)
	if !ok {
		return value, nil
	}
	folder, err := filepath.Abs(filepath.Dir(path))
	if err != nil {
		return none, Error.Wrap(err)
	}
	settings.resolve(folder)
	c := &checker{}
	settings.check(c)
	if err := c.problems.Err(); err != nil {
		return none, Error.New("%s: %w", path, err)
	}
	return value, nil
}

// resolve makes relative paths absolute, relative to a folder. Empty paths stay
// empty.
func resolve(folder string, paths ...*string) {
	for _, path := range paths {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}
