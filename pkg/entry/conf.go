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

// inForce is a configuration in force. It is swapped as a whole, so request
// paths read one consistent document without a lock.
type inForce struct {
	version uint64
	digest  string
	body    []byte
	doc     *config.Document
}

// conf holds the configuration in force at this host. Versions only rise.
type conf struct {
	*common.Common
	current atomic.Pointer[inForce]
	mu      sync.Mutex // orders the swaps
	changed func(*inForce)
}

func newConf(c *common.Common, changed func(*inForce)) *conf {
	return &conf{Common: c, changed: changed}
}

// get returns the configuration in force, or nil before there is one.
func (c *conf) get() *inForce { return c.current.Load() }

// version returns the version in force, or 0.
func (c *conf) version() uint64 {
	if current := c.get(); current != nil {
		return current.version
	}
	return 0
}

// offer takes a version into force if it is higher than the present one.
func (c *conf) offer(version uint64, digest string, body []byte) error {
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
	next := &inForce{version: version, digest: digest, body: body, doc: doc}
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
	return c.offer(head.Version, head.Digest, body)
}

// every calls do each interval, spread by jitter, until ctx ends. After
// failures it waits longer, up to maxSlowdown times, so that an outage of the
// platform meets few calls and its end no stampede.
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
