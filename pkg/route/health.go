package route

import "time"

// Limits of finding slow targets.
const (
	shrinkage     = 8           // pool samples that a target's own are weighed against
	suspectRatio  = 2.5         // times the pool's mean that make a target a suspect
	clampRatio    = 3           // times the pool's mean that a sample counts for in it at most
	clearRatio    = 1.5         // and that clear it again
	suspectShare  = 3           // one target in so many may be a suspect
	hangingRatio  = 5           // times the pool's mean that accuse an attempt under way
	meanWeight    = 0.02        // of a new sample in the pool's mean
	targetWeight  = 0.15        // of a new sample in a target's mean
	trialWeight   = 0.5         // of a suspect's new sample, so that few trials clear it
	firstTrial    = time.Second // after becoming a suspect
	longestTrial  = 30 * time.Second
	sampleMemory  = 7 // samples that a target's mean remembers, 1/targetWeight
	minimumSample = 100 * time.Microsecond
)

// Health finds targets whose times lie far above the pool's.
type Health struct {
	mean     float64 // seconds, over the pool
	samples  int
	targets  int // that there are
	suspects int // of them
}

// targetHealth is what Health remembers of one target.
type targetHealth struct {
	mean    float64 // seconds, exponentially weighted
	samples int
	suspect bool
	pause   time.Duration   // between trials
	trialAt time.Duration   // next trial
	began   []time.Duration // of the attempts under way, oldest first
}

func newHealth() *Health { return &Health{} }

// begin notes the start of an attempt, so that one that hangs counts before
// it ends.
func (h *Health) begin(t *slotState, now time.Duration) {
	t.health.began = append(t.health.began, now)
	if t.health.suspect {
		t.health.trialAt = now + t.health.pause
	}
}

func (h *Health) end(t *slotState, began time.Duration, outcome Outcome, now time.Duration) {
	t.health.drop(began)
	elapsed := now - began
	if outcome != Served || elapsed < minimumSample {
		return
	}
	h.learn(t, elapsed.Seconds())
	h.judge(t, elapsed.Seconds(), now)
}

// learn updates the means. A suspect's times stay out of the pool's mean.
func (h *Health) learn(t *slotState, seconds float64) {
	t.health.samples++
	weight := max(targetWeight, 1/float64(t.health.samples))
	if t.health.suspect {
		weight = trialWeight
	}
	t.health.mean += weight * (seconds - t.health.mean)
	if t.health.suspect {
		return
	}
	h.samples++
	weight = max(meanWeight, 1/float64(h.samples))
	if h.samples > sampleMemory {
		// Else a slow target would hide by slowing the mean.
		seconds = min(seconds, clampRatio*h.mean)
	}
	h.mean += weight * (seconds - h.mean)
}

// ratio compares a target with the pool. With few samples of its own the
// target is drawn towards the pool.
func (h *Health) ratio(t *slotState) float64 {
	if h.mean == 0 {
		return 1
	}
	own := float64(min(t.health.samples, sampleMemory))
	shrunk := (own*t.health.mean + shrinkage*h.mean) / (own + shrinkage)
	return shrunk / h.mean
}

// judge accuses a target, clears it, or sets its next trial: soon after a
// trial that went well, later and later after others.
func (h *Health) judge(t *slotState, latest float64, now time.Duration) {
	health := &t.health
	ratio := h.ratio(t)
	if !health.suspect {
		if ratio > suspectRatio {
			h.accuse(t, now)
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
		health.pause = min(longestTrial, 2*health.pause)
	} else {
		health.pause = firstTrial
	}
	health.trialAt = now + health.pause
}

// accuse makes a target a suspect, unless too many are already: when all are
// slow, it is not the targets.
func (h *Health) accuse(t *slotState, now time.Duration) {
	if suspectShare*(h.suspects+1) > h.targets {
		return
	}
	h.suspects++
	t.health.suspect = true
	t.health.pause = firstTrial
	t.health.trialAt = now + firstTrial
}

// allows reports whether a target may get a task: a suspect gets one at a
// time, now and then.
func (h *Health) allows(t *slotState, now time.Duration) bool {
	if !t.health.suspect {
		h.checkHanging(t, now)
	}
	if !t.health.suspect {
		return true
	}
	return t.busy == 0 && now >= t.health.trialAt
}

// checkHanging accuses a target whose oldest attempt runs far longer than
// the pool's mean: the attempt counts with the time that it took so far.
func (h *Health) checkHanging(t *slotState, now time.Duration) {
	if h.mean == 0 || len(t.health.began) == 0 {
		return
	}
	age := (now - t.health.began[0]).Seconds()
	if age > hangingRatio*h.mean && age > 2*t.health.mean {
		h.accuse(t, now)
	}
}

// count takes the targets that there are.
func (h *Health) count(states []*slotState) {
	h.targets, h.suspects = len(states), 0
	for _, state := range states {
		if state.health.suspect {
			h.suspects++
		}
	}
}

// nextTrial returns when a target may get a task as far as its health goes.
func (h *Health) nextTrial(t *slotState) time.Duration {
	if !t.health.suspect {
		return 0
	}
	return t.health.trialAt
}

func (h *Health) isSuspect(t *slotState) bool { return t.health.suspect }

func (t *targetHealth) drop(began time.Duration) {
	for i, at := range t.began {
		if at == began {
			t.began = append(t.began[:i], t.began[i+1:]...)
			return
		}
	}
}

// Suspects returns the addresses of the targets under suspicion.
func (s *Slots) Suspects() []string {
	var suspects []string
	for _, state := range s.order {
		if state.health.suspect {
			suspects = append(suspects, state.address)
		}
	}
	return suspects
}
