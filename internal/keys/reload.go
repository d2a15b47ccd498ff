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

// maxFileSize is the largest secrets file that is read, in bytes.
const maxFileSize = 1 << 20

// Reloader is a secret that can be reloaded from its files.
type Reloader interface {
	// Name returns the name used in logs.
	Name() string
	// Reload reads the files and reports whether new contents took effect. On
	// unreadable or invalid files the old contents stay in use, and the error is
	// returned only once until the files change again.
	Reload() (changed bool, err error)
}

// reloadable holds a value parsed from files. It implements Reloader.
type reloadable[T any] struct {
	name  string
	paths []string
	parse func(contents [][]byte) (*T, error)

	current atomic.Pointer[T]

	mu sync.Mutex
	// lastDigest is the digest that readFiles returned to the last Reload.
	lastDigest [sha256.Size]byte
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
	if digest == r.lastDigest {
		return false, nil
	}
	r.lastDigest = digest
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

// readFiles returns the contents of all files and their digest. If a file can't
// be read, the digest is that of the error text, so that an unchanged error is
// recognized like unchanged contents.
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

// Watcher checks the files of secrets periodically and reloads changed ones.
type Watcher struct {
	log      *logrus.Entry
	items    []Reloader
	onChange func()
	reloaded *observe.Counter
	refused  *observe.Counter
}

// NewWatcher returns a watcher of the secrets in items. It calls onChange, which may
// be nil, after each check that reloaded at least one of them.
func NewWatcher(log *logrus.Entry, metrics *observe.MetricSet, onChange func(), items ...Reloader) *Watcher {
	return &Watcher{
		log:      log,
		items:    items,
		onChange: onChange,
		reloaded: metrics.Counter("secrets_reloaded", "Secrets that were reloaded after their files changed."),
		refused:  metrics.Counter("secrets_refused", "Changed secrets that were unreadable or invalid, so that the old ones stayed in use."),
	}
}

// Run calls Check at each interval until the context ends.
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

// Check reloads the secrets whose files have changed, and logs and counts the results.
func (w *Watcher) Check() {
	anyChanged := false
	for _, item := range w.items {
		changed, err := item.Reload()
		anyChanged = anyChanged || changed
		w.report(item, changed, err)
	}
	if anyChanged && w.onChange != nil {
		w.onChange()
	}
}

func (w *Watcher) report(item Reloader, changed bool, err error) {
	log := w.log.WithField("item", item.Name())
	if err != nil {
		w.refused.Inc()
		log.WithError(err).Error("secrets_refused")
		return
	}
	if changed {
		w.reloaded.Inc()
		log.Info("secrets_reloaded")
	}
}
