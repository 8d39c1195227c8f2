package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/config"
	"github.com/foxcroft/foxcroft/pkg/confstore"
	"github.com/foxcroft/foxcroft/pkg/errkind"
)

// activeConfig is a configuration in force. It is replaced atomically, so request
// paths read one consistent document without a lock.
type activeConfig struct {
	version uint64
	digest  string
	body    []byte
	doc     *config.Document
}

// conf holds the configuration in force at this host. Its version only increases.
type conf struct {
	*common.Common
	current atomic.Pointer[activeConfig]
	mu      sync.Mutex // serializes replacements
	changed func(*activeConfig)
}

func newConf(c *common.Common, changed func(*activeConfig)) *conf {
	return &conf{Common: c, changed: changed}
}

// get returns the configuration in force, or nil before there is one.
func (c *conf) get() *activeConfig { return c.current.Load() }

// version returns the version in force, or 0.
func (c *conf) version() uint64 {
	if current := c.get(); current != nil {
		return current.version
	}
	return 0
}

// activateIfNewer puts a version into force if it is higher than the current one.
func (c *conf) activateIfNewer(version uint64, digest string, body []byte) error {
	if version <= c.version() {
		return nil
	}
	if confstore.Digest(body) != digest {
		return errkind.New(errkind.BadConfig, "fetch it from another host", "the body of version %d does not match its digest", version)
	}
	doc, err := config.Parse("configuration", body)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.version() {
		return nil
	}
	next := &activeConfig{version: version, digest: digest, body: body, doc: doc}
	c.current.Store(next)
	c.Log.Info("config_in_force", "version", version, "digest", digest)
	c.changed(next)
	return nil
}

// poll asks the platform for a newer version.
func (c *conf) poll(ctx context.Context, store *confstore.Store) error {
	head, err := store.Head(ctx)
	if err != nil {
		return err
	}
	if head.Version <= c.version() {
		return nil
	}
	body, err := store.Body(ctx, head)
	if err != nil {
		return err
	}
	return c.activateIfNewer(head.Version, head.Digest, body)
}

// every calls do at each interval, with jitter, until ctx ends. While do fails, the
// interval doubles up to maxSlowdown times, which limits the calls during an outage of
// the platform and right after it.
func every(ctx context.Context, interval time.Duration, do func() error) {
	const maxSlowdown = 8
	slowdown := 1
	for {
		if err := do(); err != nil {
			slowdown = min(2*slowdown, maxSlowdown)
		} else {
			slowdown = 1
		}
		if !common.Sleep(ctx, common.Jitter(time.Duration(slowdown)*interval, common.Unit())) {
			return
		}
	}
}
