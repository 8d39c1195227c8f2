package route

import "time"

// Parameters of the detection of slow targets.
const (
	shrinkage         = 8    // weight, in samples, of the pool's mean in a target's ratio
	suspectRatio      = 2.5  // ratio to the pool's mean that makes a target a suspect
	clampRatio        = 3    // upper bound of a sample in the pool's mean, as a ratio to that mean
	clearRatio        = 1.5  // ratio below which a suspect is cleared
	targetsPerSuspect = 3    // targets needed per suspect
	hangingRatio      = 5    // ratio to the pool's mean at which an open attempt makes its target a suspect
	meanWeight        = 0.02 // of a new sample in the pool's mean
	targetWeight      = 0.15 // of a new sample in a target's mean
	probeWeight       = 0.5  // of a suspect's new sample, so that few probes clear it
	minProbeInterval  = time.Second
	maxProbeInterval  = 30 * time.Second
	sampleWindow      = 7 // samples that a target's mean covers, about 1/targetWeight
	minimumSample     = 100 * time.Microsecond
)

// Health detects targets whose task times are far above the mean of the pool.
type Health struct {
	mean     float64 // of the pool, in seconds, exponentially weighted
	samples  int
	targets  int
	suspects int
}

// targetHealth is the health of one target.
type targetHealth struct {
	mean          float64 // seconds, exponentially weighted
	samples       int
	suspect       bool
	probeInterval time.Duration   // of a suspect
	probeAt       time.Duration   // time of the next probe
	startedAt     []time.Duration // of the open attempts, oldest first
}

func newHealth() *Health { return &Health{} }

// begin records the start of an attempt, so that checkHanging sees it before it
// ends.
func (h *Health) begin(t *slotState, now time.Duration) {
	t.health.startedAt = append(t.health.startedAt, now)
	if t.health.suspect {
		t.health.probeAt = now + t.health.probeInterval
	}
}

// end records the end of an attempt. Only served attempts count as samples.
func (h *Health) end(t *slotState, began time.Duration, outcome Outcome, now time.Duration) {
	t.health.removeAttempt(began)
	elapsed := now - began
	if outcome != Served || elapsed < minimumSample {
		return
	}
	h.addSample(t, elapsed.Seconds())
	h.evaluate(t, elapsed.Seconds(), now)
}

// addSample updates the means. Samples of a suspect do not count in the mean of
// the pool.
func (h *Health) addSample(t *slotState, seconds float64) {
	t.health.samples++
	weight := max(targetWeight, 1/float64(t.health.samples))
	if t.health.suspect {
		weight = probeWeight
	}
	t.health.mean += weight * (seconds - t.health.mean)
	if t.health.suspect {
		return
	}
	h.samples++
	weight = max(meanWeight, 1/float64(h.samples))
	if h.samples > sampleWindow {
		// Limits how far a slow target raises the mean that it is compared with.
		seconds = min(seconds, clampRatio*h.mean)
	}
	h.mean += weight * (seconds - h.mean)
}

// ratio returns the target's mean divided by the mean of the pool. The target's
// mean is shrunk towards that of the pool: the fewer samples, the more.
func (h *Health) ratio(t *slotState) float64 {
	if h.mean == 0 {
		return 1
	}
	own := float64(min(t.health.samples, sampleWindow))
	shrunk := (own*t.health.mean + shrinkage*h.mean) / (own + shrinkage)
	return shrunk / h.mean
}

// evaluate marks a target as a suspect, clears it, or schedules the next probe
// of a suspect. The probe interval doubles after each slow sample and is reset
// by any other.
func (h *Health) evaluate(t *slotState, latest float64, now time.Duration) {
	health := &t.health
	ratio := h.ratio(t)
	if !health.suspect {
		if ratio > suspectRatio {
			h.markSuspect(t, now)
		}
		return
	}
	if ratio < clearRatio {
		health.suspect = false
		h.suspects--
		return
	}
	wasSlow := latest > suspectRatio*h.mean
	if wasSlow {
		health.probeInterval = min(maxProbeInterval, 2*health.probeInterval)
	} else {
		health.probeInterval = minProbeInterval
	}
	health.probeAt = now + health.probeInterval
}

// markSuspect makes a target a suspect unless too many are suspects already:
// when most targets are slow, the cause is elsewhere.
func (h *Health) markSuspect(t *slotState, now time.Duration) {
	if targetsPerSuspect*(h.suspects+1) > h.targets {
		return
	}
	h.suspects++
	t.health.suspect = true
	t.health.probeInterval = minProbeInterval
	t.health.probeAt = now + minProbeInterval
}

// allows reports whether a target may get a task. A suspect gets one probe at a
// time, at its probe interval.
func (h *Health) allows(t *slotState, now time.Duration) bool {
	if !t.health.suspect {
		h.checkHanging(t, now)
	}
	if !t.health.suspect {
		return true
	}
	return t.busy == 0 && now >= t.health.probeAt
}

// checkHanging makes a target a suspect if its oldest open attempt has taken far
// longer than the mean of the pool.
func (h *Health) checkHanging(t *slotState, now time.Duration) {
	if h.mean == 0 || len(t.health.startedAt) == 0 {
		return
	}
	age := (now - t.health.startedAt[0]).Seconds()
	if age > hangingRatio*h.mean && age > 2*t.health.mean {
		h.markSuspect(t, now)
	}
}

// setTargets recounts the targets and the suspects among them.
func (h *Health) setTargets(states []*slotState) {
	h.targets, h.suspects = len(states), 0
	for _, state := range states {
		if state.health.suspect {
			h.suspects++
		}
	}
}

// nextAllowed returns the time of the next probe of a suspect, or 0 if the target
// is no suspect.
func (h *Health) nextAllowed(t *slotState) time.Duration {
	if !t.health.suspect {
		return 0
	}
	return t.health.probeAt
}

func (h *Health) isSuspect(t *slotState) bool { return t.health.suspect }

func (t *targetHealth) removeAttempt(began time.Duration) {
	for i, at := range t.startedAt {
		if at == began {
			t.startedAt = append(t.startedAt[:i], t.startedAt[i+1:]...)
			return
		}
	}
}

// Suspects returns the addresses of the suspects, sorted.
func (s *Slots) Suspects() []string {
	var suspects []string
	for _, state := range s.order {
		if state.health.suspect {
			suspects = append(suspects, state.address)
		}
	}
	return suspects
}
