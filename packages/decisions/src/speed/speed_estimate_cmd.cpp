/** @file speed_estimate_cmd.cpp Learned speed of the local target. */
#include "speed_estimate_func.h"

#include <algorithm>
#include <cmath>

namespace quetzalspool {

namespace {

constexpr double baseSmoothing = 0.02; ///< Weight of a response in the base of its kind: about 50 responses.
constexpr double meanSmoothing = 0.05; ///< Weight of a request in the mean over the kinds.
constexpr milliseconds paceTime{400}; ///< Time constant of the pace.
constexpr double minPaceWeight = 0.1; ///< Least weight of a response in the pace: single responses vary.
constexpr double maxPaceWeight = 0.6; ///< Most weight, of the first response after a pause.
constexpr double minPace = 0.02; ///< Lower bound of the pace.
constexpr double maxPace = 50; ///< Upper bound of the pace.
constexpr double minServiceMs = 0.1; ///< Lower bound of service times.
constexpr std::size_t minRunning = 3; ///< With fewer requests in progress, their age proves nothing.
constexpr milliseconds meanPaceTime{1000}; ///< Time constant of the mean pace.
constexpr milliseconds statedMemory{2000}; ///< A stated pace applies for this long.
constexpr milliseconds statedLoadMemory{500}; ///< Stated numbers of requests apply for this long.
constexpr double statedTolerance = 0.2; ///< Relative change of the stated pace that counts as a change of speed.
constexpr std::size_t maxKinds = 64; ///< Bound on the kinds that are told apart; further ones share the mean base.

/** Base of a kind; 0 if there was no response to a request of this kind. */
double baseOf(const speed_estimate &estimate, const work_kind &kind)
{
    const auto found = estimate.kindBaseMs.find(kind);
    return found == estimate.kindBaseMs.end() ? 0 : found->second;
}

/** Moves a base towards the usual service time that a response shows; the first response sets it. */
void updateBase(double &base, double usual, double weight)
{
    base = base == 0 ? usual : base + weight * (usual - base);
}

double effectivePace(const speed_estimate &estimate)
{
    return std::max(estimate.pace * estimate.statedPace, estimate.overrun);
}

void updateMeanPace(speed_estimate &estimate, steady_time now)
{
    const auto elapsed = std::chrono::duration<double>(now - estimate.meanUpdatedAt) / meanPaceTime;
    estimate.meanPace += (1 - std::exp(-elapsed)) * (effectivePace(estimate) - estimate.meanPace);
    estimate.meanUpdatedAt = now;
}

} // namespace

void beginWork(speed_estimate &estimate, std::uint64_t id, const work_kind &kind, steady_time now)
{
    if (!estimate.enabled) {
        return;
    }
    estimate.running.push_back({id, baseOf(estimate, kind), now});
}

void endWork(speed_estimate &estimate, std::uint64_t id)
{
    std::erase_if(estimate.running, [id](const auto &work) { return work.id == id; });
}

void learnService(speed_estimate &estimate, const work_kind &kind, milliseconds service, steady_time now)
{
    if (!estimate.enabled) {
        return;
    }
    const auto measured = std::max(static_cast<double>(service.count()), minServiceMs);
    auto &mean = kind.urgent ? estimate.urgentBaseMs : estimate.normalBaseMs;
    auto base = baseOf(estimate, kind);
    if (base == 0) {
        const bool isFurtherKind = estimate.kindBaseMs.size() >= maxKinds;
        base = isFurtherKind && mean > 0 ? mean : measured / (estimate.pace * estimate.statedPace);
    }
    // A response that was begun before the target stated another pace shows the pace before.
    if (now - service >= estimate.statedSince) {
        const auto elapsed = std::chrono::duration<double>(now - estimate.updatedAt) / paceTime;
        const auto weight = std::clamp(1 - std::exp(-elapsed), minPaceWeight, maxPaceWeight);
        const auto observed = measured / (base * estimate.statedPace);
        estimate.pace = std::clamp(estimate.pace + weight * (observed - estimate.pace), minPace, maxPace);
        estimate.updatedAt = now;
    }
    updateBase(base, measured / (estimate.pace * estimate.statedPace), baseSmoothing);
    if (estimate.kindBaseMs.size() < maxKinds || estimate.kindBaseMs.contains(kind)) {
        estimate.kindBaseMs[kind] = base;
    }
    updateBase(mean, base, meanSmoothing);
    updateBase(estimate.meanBaseMs, base, meanSmoothing);
}

void updateOverrun(speed_estimate &estimate, steady_time now)
{
    if (now - estimate.statedAt > statedMemory) {
        estimate.statedSince = estimate.statedPace == 1 ? estimate.statedSince : now;
        estimate.statedPace = 1;
    }
    estimate.overrun = 0;
    if (estimate.running.size() < minRunning) {
        updateMeanPace(estimate, now);
        return;
    }
    std::chrono::duration<double, std::milli> age{0};
    double usual = 0;
    for (const auto &work : estimate.running) {
        if (work.baseMs > 0) {
            age += now - work.since;
            usual += work.baseMs;
        }
    }
    estimate.overrun = usual > 0 ? std::min(age.count() / usual, maxPace) : 0;
    updateMeanPace(estimate, now);
}

void applyStatedLoad(speed_estimate &estimate, const stated_load &stated, steady_time now)
{
    if (!estimate.enabled) {
        return;
    }
    estimate.stated = stated;
    estimate.statedAt = now;
    const auto percent = static_cast<double>(stated.workPercent.value_or(100));
    const auto pace = std::clamp(percent / 100, minPace, maxPace);
    if (std::abs(pace - estimate.statedPace) > statedTolerance * estimate.statedPace) {
        estimate.statedSince = now;
    }
    estimate.statedPace = pace;
}

double statedLoadPerSlot(const speed_estimate &estimate, steady_time now)
{
    if (!estimate.stated || estimate.stated->waiting == 0 || now - estimate.statedAt > statedLoadMemory) {
        return 0;
    }
    return static_cast<double>(estimate.stated->running + estimate.stated->waiting) / estimate.stated->slots;
}

double learnedServiceMs(const speed_estimate &estimate, bool urgent)
{
    return (urgent ? estimate.urgentBaseMs : estimate.normalBaseMs) * effectivePace(estimate);
}

double learnedServiceMs(const speed_estimate &estimate, const work_kind &kind)
{
    return baseOf(estimate, kind) * effectivePace(estimate);
}

double learnedMeanServiceMs(const speed_estimate &estimate)
{
    return estimate.meanBaseMs * estimate.meanPace;
}

double learnedSpeed(const speed_estimate &estimate)
{
    return 1 / effectivePace(estimate);
}

} // namespace quetzalspool
