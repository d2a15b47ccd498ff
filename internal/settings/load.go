package settings

import (
	"os"
	"path/filepath"

	"github.com/balsamlink/balsamlink/internal/strictjson"
)

// checked is implemented by the settings of programs.
type checked interface {
	// resolve makes relative paths of files absolute, seen from a folder.
	resolve(folder string)
	// check adds what the schema can't tell.
	check(c *checker)
}

// Load reads the settings of a program and checks them in full. Relative paths
// in the file are seen from its folder. Errors about the contents wrap
// *strictjson.Problems.
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
	settings, ok := any(&value).(checked)
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

func resolve(folder string, paths ...*string) {
	for _, path := range paths {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}
