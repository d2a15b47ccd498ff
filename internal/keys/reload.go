package keys

import (
	"context"
	"crypto/sha256"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/observe"
)

// maxFileSize is the largest file of secrets that is read, in bytes.
const maxFileSize = 1 << 20

// Reloader is something that is loaded from files and can be loaded anew.
type Reloader interface {
	// Name names it in logs.
	Name() string
	// Reload reads the files and tells whether their contents were taken over.
	// Bad contents leave the old ones in use; they are reported once.
	Reload() (changed bool, err error)
}

// reloadable keeps a value that is parsed from files.
type reloadable[T any] struct {
	name  string
	paths []string
	parse func(contents [][]byte) (*T, error)

	current atomic.Pointer[T]

	mu   sync.Mutex
	seen [sha256.Size]byte
}

func newReloadable[T any](name string, paths []string, parse func([][]byte) (*T, error)) (*reloadable[T], error) {
	r := &reloadable[T]{name: name, paths: paths, parse: parse}
	if _, err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Name implements Reloader.
func (r *reloadable[T]) Name() string { return r.name }

// Reload implements Reloader.
func (r *reloadable[T]) Reload() (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	contents, digest, err := readFiles(r.paths)
	if digest == r.seen {
		return false, nil
	}
	r.seen = digest
	if err != nil {
		return false, err
	}
	value, err := r.parse(contents)
	if err != nil {
		return false, err
	}
	r.current.Store(value)
	return true, nil
}

// readFiles returns the contents of all files and a digest of them. The digest
// of files that can't be read stands for the error.
func readFiles(paths []string) ([][]byte, [sha256.Size]byte, error) {
	var contents [][]byte
	hash := sha256.New()
	for _, path := range paths {
		content, err := readFile(path)
		if err != nil {
			return nil, sha256.Sum256([]byte(err.Error())), err
		}
		sum := sha256.Sum256(content)
		hash.Write(sum[:])
		contents = append(contents, content)
	}
	return contents, [sha256.Size]byte(hash.Sum(nil)), nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if info.Size() > maxFileSize {
		return nil, Error.New("%s has %d bytes; allowed: %d", path, info.Size(), maxFileSize)
	}
	content, err := os.ReadFile(path)
	return content, Error.Wrap(err)
}

// Watcher reloads secrets at an interval.
type Watcher struct {
	log      *logrus.Entry
	items    []Reloader
	changed  func()
	reloads  *observe.Counter
	failures *observe.Counter
}

// NewWatcher makes a watcher. It calls changed, which may be nil, after at
// least one of the items was loaded anew.
func NewWatcher(log *logrus.Entry, counters *observe.Counters, changed func(), items ...Reloader) *Watcher {
	return &Watcher{
		log:      log,
		items:    items,
		changed:  changed,
		reloads:  counters.Counter("secrets_reloaded", "Secrets that were loaded anew after their files changed."),
		failures: counters.Counter("secrets_refused", "Changed files of secrets that were bad, so that the old ones stayed in use."),
	}
}

// Run checks the files at each interval until the context ends.
func (w *Watcher) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.Check()
		}
	}
}

// Check reads all files once.
func (w *Watcher) Check() {
	any := false
	for _, item := range w.items {
		changed, err := item.Reload()
		any = any || changed
		w.report(item, changed, err)
	}
	if any && w.changed != nil {
		w.changed()
	}
}

func (w *Watcher) report(item Reloader, changed bool, err error) {
	log := w.log.WithField("item", item.Name())
	if err != nil {
		w.failures.Inc()
		log.WithError(err).Error("secrets_refused")
		return
	}
	if changed {
		w.reloads.Inc()
		log.Info("secrets_reloaded")
	}
}
