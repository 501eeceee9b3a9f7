package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// convictBase and the logarithm of all answers make the score that convicts the new version: the
	// more answers there are, the more often chance alone reaches a score.
	convictBase = 1.5
	// suspectPart is the part of the score that convicts from which on the share doesn't rise, and
	// doubtPart the one from which on a roll-out isn't completed at its deadline.
	suspectPart = 0.5
	doubtPart   = 0.55
	// acquitFailures and acquitSlow are the log-likelihood ratios, of all answers, that speak for the
	// new version clearly enough for an early decision.
	acquitFailures = -3.0
	acquitSlow     = -2.0

	// enoughAnswers of the new version earn a step before the decision; minAnswers are needed for a
	// late decision.
	enoughAnswers = 10
	minAnswers    = 10
	// manyAnswers make the step after the decision short. With fewer, it lasts until loadPart of the
	// exposure is used up.
	manyAnswers = 200

	// The following are parts of a roll-out's duration: the longest wait for enoughAnswers at one
	// step of a service with few requests; the times of the early and of the late decision; the
	// time at the first share after the decision, in which answers under load are seen; and the end of
	// that time if there are few answers.
	longestStep   = 0.1
	earlyDecision = 0.5
	lateDecision  = 0.6
	loadStep      = 0.1
	loadStepEnd   = 0.66
	// finishReserve is the part that the last steps and the end of running requests take. A decision
	// after that would come too late.
	finishReserve = 0.2

	// quickStep is the time at a share after the decision: routers learn of it and report.
	quickStep = 600 * time.Millisecond
	// reportLife is the age up to which a router's newest report counts; routers report each second.
	reportLife = 3 * time.Second
	// forgetAfter is how long a router that has left is remembered, against late reports.
	forgetAfter = time.Minute
	// minMargin and maxMargin bound how long before its deadline a roll-out ends: the commit and the
	// way of the last record to the operators take a part of it.
	minMargin  = 300 * time.Millisecond
	maxMargin  = time.Second
	marginPart = 12 // of the duration
)

const (
	// loadReserve is the time in which a version that turns bad at the first share after the decision
	// still gets requests: routers report each second, a score grows over two slots, and routers learn
	// of the roll-back. loadPart is the part of the exposure that may be used up by then.
	loadReserve = 2500 * time.Millisecond
	loadPart    = 0.95
	// quickShare is the share between that one and Finishing.
	quickShare = 600
)

// Judge decides the steps of one roll-out by the routers' reports. It has no clock and does no I/O.
// It is not safe for concurrent use.
type Judge struct {
	limits   Limits
	record   Rollout
	tally    *tally
	evidence *evidence

	stepAt  time.Duration // when the record's step became known
	answers float64       // of the new version, at stepAt
}

// NewJudge returns the judge of a roll-out whose record is known from the time now on.
func NewJudge(now time.Duration, r Rollout, limits Limits) *Judge {
	return &Judge{limits: limits, record: r, tally: newTally(r.ID), evidence: newEvidence(), stepAt: now}
}

// Record returns the newest record.
func (j *Judge) Record() Rollout { return j.record }

// SetRecord adopts a newer record of the same order.
func (j *Judge) SetRecord(now time.Duration, r Rollout) {
	if r.Step > j.record.Step {
		j.record, j.stepAt, j.answers = r, now, j.tally.total.new.answers
	}
}

// Add counts a router's report, which came with the renewal seq. It keeps the report. Late and repeated
// reports and those of other roll-outs change nothing.
func (j *Judge) Add(now time.Duration, from Router, seq uint64, report Report) {
	j.tally.add(now, from, seq, report)
}

// Decide returns the record of the next step, if one is due. elapsed is the time since the order, and
// routers are the present ones.
func (j *Judge) Decide(now, elapsed time.Duration, routers []Router) (Rollout, bool) {
	if j.record.Ended() {
		return Rollout{}, false
	}
	if j.tally.changed {
		j.tally.changed = false
		j.tally.forget(routers, now-forgetAfter)
		j.evidence.evaluate(now, j.tally, j.tolerance(), j.convictScore())
	}
	if key, score := j.evidence.worst(); score >= j.convictScore() {
		return j.record.next(RolledBack, 0, fmt.Sprintf("the new version's %s are worse than the old ones' %s", key.metric, key.where())), true
	}
	if elapsed >= j.record.Duration-j.margin() {
		return j.end(elapsed, routers)
	}
	if j.record.State == Finishing {
		return j.finish(now, routers)
	}
	return j.rise(now, elapsed, routers)
}

// where describes the part of the requests that a test is about.
func (k testKey) where() string {
	switch {
	case k.route == "" && k.zone == allZones:
		return "over all requests"
	case k.zone == allZones:
		return "on route " + k.route
	case k.route == "":
		return "in zone " + string(k.zone)
	default:
		return "on route " + k.route + " in zone " + string(k.zone)
	}
}

// convictScore returns the score of a test that convicts the new version.
func (j *Judge) convictScore() float64 {
	return convictBase + math.Log(100+j.tally.total.old.answers+j.tally.total.new.answers)
}

// tolerance returns how slow answers may be at the present share.
func (j *Judge) tolerance() tolerance {
	if j.takingOver() {
		return finishTolerance
	}
	return rampTolerance
}

// ramping reports whether the decision is still to come.
func (j *Judge) ramping() bool {
	return j.record.State == InProgress && j.record.Share <= j.limits.permille(rampSteps[len(rampSteps)-1])
}

// takingOver reports whether the new version gets most requests.
func (j *Judge) takingOver() bool {
	return j.record.State != InProgress || j.record.Share >= quickShare
}

// loadShare returns the first share after the decision. Routers that have sent the new version less than
// their share catch up, so it counts from the order on: should the version turn bad now, it still
// gets no more than its exposure until the deadline.
func (j *Judge) loadShare(elapsed time.Duration) uint16 {
	exposure := loadPart * j.limits.ExposureShare * float64(j.record.Duration)
	share := uint16(FullShare * exposure / float64(elapsed+loadReserve))
	return min(max(share, j.record.Share+1), quickShare-1)
}

// margin returns how long before the deadline the roll-out ends.
func (j *Judge) margin() time.Duration {
	return min(max(j.record.Duration/marginPart, minMargin), maxMargin)
}

// suspected reports whether the new version has shown too much against it for more requests.
func (j *Judge) suspected() bool { return j.scored(suspectPart) }

// scored reports whether a test has reached a part of the score that convicts.
func (j *Judge) scored(part float64) bool {
	_, score := j.evidence.worst()
	return score >= part*j.convictScore()
}

// end returns the last record, shortly before the deadline.
func (j *Judge) end(elapsed time.Duration, routers []Router) (Rollout, bool) {
	reported, _ := j.tally.heard(routers, 0, j.record.Step)
	few := 2*reported <= len(routers)
	switch {
	case j.record.State == InProgress && !few && j.alone() && !j.suspected():
		return j.record.next(Completed, FullShare, "no other version serves"), true
	case j.record.State == InProgress:
		return j.record.next(RolledBack, 0, fmt.Sprintf("undecided at the deadline after %.0f answers of the new version", j.tally.total.new.answers)), true
	case few && elapsed < j.record.Duration-minMargin:
		return Rollout{}, false // a new leader waits for reports
	case few:
		return j.record.next(RolledBack, 0, "too few routers have reported at the deadline"), true
	case j.scored(doubtPart):
		return j.record.next(RolledBack, 0, "the new version is suspected at the deadline"), true
	default:
		return j.record.next(Completed, FullShare, "the deadline is near"), true
	}
}

// alone reports whether only the new version has answered and most of its answers are good, as after
// an order of the version that the pool has already. A rollback would leave the pool without upstreams.
func (j *Judge) alone() bool {
	seen := &j.tally.total
	return seen.old.answers == 0 && seen.new.answers >= minAnswers && 2*seen.new.failed < seen.new.answers
}

// finish completes the roll-out once nothing runs at the old versions any more.
func (j *Judge) finish(now time.Duration, routers []Router) (Rollout, bool) {
	_, idle := j.tally.heard(routers, max(j.stepAt, now-reportLife), j.record.Step)
	if len(routers) == 0 || idle < len(routers) || j.suspected() || j.evidence.overall(byFailure) > 0 {
		return Rollout{}, false
	}
	return j.record.next(Completed, FullShare, "nothing runs at the old versions"), true
}

// rise returns the next step up, if the new version has earned it.
func (j *Judge) rise(now, elapsed time.Duration, routers []Router) (Rollout, bool) {
	reported, _ := j.tally.heard(routers, now-reportLife, 0)
	if 2*reported <= len(routers) || j.suspected() {
		return Rollout{}, false
	}
	here := now - j.stepAt
	if !j.ramping() {
		return j.riseQuickly(elapsed, here)
	}
	if next, ok := j.nextRamp(); ok {
		if j.answersHere() >= enoughAnswers || here >= j.part(longestStep) {
			return j.record.next(InProgress, next, fmt.Sprintf("%.0f answers of the new version, none worse", j.answersHere())), true
		}
	}
	if reason, ok := j.acquitted(elapsed); ok {
		return j.record.next(InProgress, j.loadShare(elapsed), reason), true
	}
	return Rollout{}, false
}

// nextRamp returns the next share before the decision.
func (j *Judge) nextRamp() (share uint16, ok bool) {
	for _, step := range rampSteps {
		if share = j.limits.permille(step); share > j.record.Share {
			return share, true
		}
	}
	return 0, false
}

// answersHere returns the new version's answers since the present step.
func (j *Judge) answersHere() float64 { return j.tally.total.new.answers - j.answers }

// part returns a part of the roll-out's duration.
func (j *Judge) part(of float64) time.Duration {
	return time.Duration(of * float64(j.record.Duration))
}

// acquitted reports whether the new version may get all requests, and why.
func (j *Judge) acquitted(elapsed time.Duration) (reason string, ok bool) {
	if elapsed < j.part(earlyDecision) || elapsed > j.part(1-finishReserve) {
		return "", false
	}
	answers, failures := j.tally.total.new.answers, j.evidence.overall(byFailure)
	slow, compared := j.evidence.slowness()
	early := failures <= acquitFailures && slow <= acquitSlow
	late := elapsed >= j.part(lateDecision) && answers >= minAnswers && failures <= 0 && compared && slow <= 0
	if !early && !late {
		return "", false
	}
	return fmt.Sprintf("good after %.0f answers of the new version (failures %.1f, slow answers %.1f)", answers, failures, slow), true
}

// mayLearn reports whether there are few answers of the new version, and time and exposure left for more
// at the present share.
func (j *Judge) mayLearn(elapsed time.Duration) bool {
	seen := &j.tally.total
	if seen.new.answers >= manyAnswers || elapsed > j.part(loadStepEnd) {
		return false
	}
	perNanosecond := (seen.old.answers + seen.new.answers) / float64(elapsed)
	exposure := j.limits.ExposureShare*perNanosecond*float64(j.record.Duration) + float64(j.limits.ExposureSlack)
	soon := perNanosecond * float64(loadReserve) * float64(j.record.Share) / FullShare
	return seen.new.answers+soon < loadPart*exposure
}

// riseQuickly returns the next step after the decision.
func (j *Judge) riseQuickly(elapsed, here time.Duration) (Rollout, bool) {
	if j.record.Share < quickShare {
		if here < max(quickStep, j.part(loadStep)) || j.mayLearn(elapsed) {
			return Rollout{}, false
		}
		return j.record.next(InProgress, quickShare, "good under load"), true
	}
	if here < quickStep {
		return Rollout{}, false
	}
	return j.record.next(Finishing, FullShare, "good under load"), true
}
