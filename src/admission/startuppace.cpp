#include "admission/startuppace.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Hibiscus
{

namespace
{

/** Share with which a server begins; half of its slots bear what a share of the load usually needs. */
constexpr double kStartShare = 0.5;
constexpr double kMinimumShare = 1.0 / 32;
/** Factor of a step up, below half of the slots and above. */
constexpr double kLowStepUp = 2;
constexpr double kStepUp = 1.5;
constexpr double kStepBack = 0.5;
/** Answers of requests that began after a step, which the next step up takes. */
constexpr int kRoundAnswers = 8;
/** Share of bad answers from which on the share goes back, if there are kMinimumBad, and that up to which it goes up.
 */
constexpr double kFailingShare = 0.25;
constexpr double kGoodShare = 1.0 / 16;
constexpr int kMinimumBad = 2;
/** Growth of the own service time after a step up from which on the step has brought nothing; that of a server which
 * works off no more with more requests at a time is kStepUp. */
constexpr double kUselessGrowth = 1.4;
/** Time for which a step that brought nothing is put off, at first and at most. */
constexpr Millis kFirstHold{500};
constexpr Millis kLongestHold{2000};
/** Signs of a start within this time are of the same one: a probe that succeeds, and the first check-in. */
constexpr Millis kSameStart{2000};
/** A server that goes down within this time after its start or its full share flaps. */
constexpr Millis kFlapping{10000};
/** Time without any work after which a server has full share. */
constexpr Millis kMinimumHint{1000};

} // namespace

bool StartupPace::begin(TimePoint now, Millis hint)
{
    if (!isInterrupted_ && begunAt_ && now - *begunAt_ < kSameStart) {
        hint_ = std::max(hint_, hint);
        return false;
    }
    start(now, isRepeated_ ? startShare_ * kStepBack : kStartShare);
    hint_ = std::max(hint, kMinimumHint);
    isInterrupted_ = false;
    isRepeated_ = false;
    return true;
}

void StartupPace::interrupt(TimePoint now)
{
    const bool isEarly = !isFull() || (fullAt_ && now - *fullAt_ < kFlapping);
    isRepeated_ = isRepeated_ || isEarly;
    isInterrupted_ = true;
}

void StartupPace::resume(TimePoint now, double share)
{
    start(now, std::clamp(share, kMinimumShare, kStartShare));
    hint_ = kMinimumHint;
}

void StartupPace::record(const ServiceSample &sample, Millis expected, TimePoint now)
{
    if (isFull()) {
        return;
    }
    if (!firstAnswerAt_) {
        firstAnswerAt_ = now;
    }
    if (sample.serverShed || sample.isServersFault) {
        ++round_.bad;
        return;
    }
    if (sample.failed) {
        return;
    }
    ++round_.good;
    if (now - sample.total < round_.begin) {
        return;
    }
    const bool isKnown = expected > Millis{0} && (round_.timed == 0 || round_.expected > 0);
    ++round_.timed;
    round_.ownTime += sample.ownTime().value;
    round_.expected = isKnown ? round_.expected + expected.value : 0;
}

void StartupPace::closeWindow(TimePoint now, int peakInFlight, int slots)
{
    if (isFull()) {
        return;
    }
    if (!firstAnswerAt_ && now - *begunAt_ >= hint_) {
        finish(now);
        return;
    }
    round_.peakInFlight = std::max(round_.peakInFlight, peakInFlight);
    if (isFailing()) {
        ++stepsBack_;
        reference_.reset();
        setShare(share_ * kStepBack, now);
    } else if (round_.timed < kRoundAnswers || now < holdUntil_) {
        return;
    } else if (round_.bad > kGoodShare * (round_.bad + round_.good)) {
        setShare(share_, now);
    } else if (hasGrown(slots)) {
        undoStep(now);
    } else {
        stepUp(now);
    }
}

int StartupPace::usable(int slots) const
{
    return partOf(slots, share_);
}

bool StartupPace::isFull() const
{
    return share_ >= 1;
}

std::optional<PaceReport> StartupPace::takeReport()
{
    return std::exchange(report_, std::nullopt);
}

void StartupPace::start(TimePoint now, double share)
{
    startShare_ = std::max(share, kMinimumShare);
    begunAt_ = now;
    fullAt_.reset();
    firstAnswerAt_.reset();
    reference_.reset();
    hold_ = kFirstHold;
    holdUntil_ = now;
    stepsBack_ = 0;
    setShare(share, now);
}

void StartupPace::setShare(double share, TimePoint now)
{
    share_ = std::clamp(share, kMinimumShare, 1.0);
    round_ = Round{.begin = now};
}

void StartupPace::finish(TimePoint now)
{
    share_ = 1;
    fullAt_ = now;
    const TimePoint first = firstAnswerAt_.value_or(now);
    report_ = PaceReport{first - *begunAt_, now - first, stepsBack_};
}

bool StartupPace::isFailing() const
{
    return round_.bad >= kMinimumBad && round_.bad >= kFailingShare * (round_.bad + round_.good);
}

/** Whether the own service time has grown with the latest step, which only a step can cause that was made use of. */
bool StartupPace::hasGrown(int slots) const
{
    const Slowness now = slowness();
    return reference_ && reference_->isRelative == now.isRelative && now.value > kUselessGrowth * reference_->value
        && round_.peakInFlight > partOf(slots, referenceShare_);
}

void StartupPace::stepUp(TimePoint now)
{
    reference_ = slowness();
    referenceShare_ = share_;
    setShare(share_ * (share_ < kStartShare ? kLowStepUp : kStepUp), now);
    if (share_ >= 1) {
        finish(now);
    }
}

/** Before the next attempt the time at the lower share is measured anew: if it is as long there, the step is not the
 * cause. */
void StartupPace::undoStep(TimePoint now)
{
    ++stepsBack_;
    reference_.reset();
    setShare(referenceShare_, now);
    holdUntil_ = now + hold_;
    hold_ = std::min(hold_ * 2, kLongestHold);
}

StartupPace::Slowness StartupPace::slowness() const
{
    if (round_.expected > 0) {
        return {round_.ownTime / round_.expected, true};
    }
    return {round_.ownTime / round_.timed, false};
}

int StartupPace::partOf(int slots, double share)
{
    return std::clamp(static_cast<int>(std::ceil(slots * share)), 1, std::max(slots, 1));
}

} // namespace Hibiscus
