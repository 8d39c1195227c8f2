package entry

import (
	"maps"

	"github.com/foxcroft/foxcroft/pkg/config"
	"github.com/foxcroft/foxcroft/pkg/schedule"
)

// reconfigure applies the current configuration and membership to the dispatchers, and
// makes dispatchers for new pools.
func (h *Host) reconfigure() {
	h.poolsMu.Lock()
	defer h.poolsMu.Unlock()
	current := h.conf.get()
	if current == nil {
		return
	}
	pools := h.withNewPools(current.doc)
	view := h.members.view()
	for name, d := range pools {
		service := policyService(current.doc, name)
		if service == nil {
			continue // no longer configured; its remaining jobs finish
		}
		if err := d.configure(current.doc, service, view); err != nil {
			h.Log.Error("pool_not_configured", "pool", name, "error", err.Error())
			if h.dispatcher(name) == nil {
				delete(pools, name)
			}
		}
	}
	// Others see a pool only once it is configured.
	h.pools.Store(&pools)
}

func (h *Host) withNewPools(doc *config.Document) map[string]*dispatcher {
	pools := maps.Clone(*h.pools.Load())
	for name := range doc.Pools {
		if pools[name] == nil && policyService(doc, name) != nil {
			pools[name] = newDispatcher(h.Common, h.settings.Name, name, h.settings.RetryRatio, h.targets, h.metrics, h.finish, h.sendLending)
		}
	}
	return pools
}

// policyService returns the service whose policy applies to a pool: the first by name
// of those that use the pool.
func policyService(doc *config.Document, pool string) *config.Service {
	var first *config.Service
	consider := func(service *config.Service) {
		if service != nil && (first == nil || service.Name < first.Name) {
			first = service
		}
	}
	for _, service := range doc.Services {
		if service.Pool == pool {
			consider(service)
		}
	}
	for _, rule := range doc.Rules {
		if rule.Pool != pool {
			continue
		}
		for _, service := range doc.Services {
			if rule.Service == "" || rule.Service == service.Name {
				consider(service)
			}
		}
	}
	return first
}

func (h *Host) dispatcher(pool string) *dispatcher { return (*h.pools.Load())[pool] }

func (h *Host) eachDispatcher(do func(*dispatcher)) {
	for _, d := range *h.pools.Load() {
		do(d)
	}
}

// totals returns the load over all pools.
func (h *Host) totals() schedule.Load {
	var total schedule.Load
	h.eachDispatcher(func(d *dispatcher) {
		load := d.load()
		total.Waiting += load.Waiting
		total.Busy += load.Busy
		total.Free += load.Free
		total.Usable += load.Usable
		total.Suspects = append(total.Suspects, load.Suspects...)
	})
	return total
}
