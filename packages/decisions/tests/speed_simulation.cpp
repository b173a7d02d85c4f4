/** @file speed_simulation.cpp Simulated forwarding daemons and targets of different speeds. */
#include "speed_simulation.h"

#include "speed_estimate_func.h"

namespace quetzalspool::test {

namespace {

constexpr milliseconds linkTime{2}; ///< Time of a message between daemons.
constexpr std::size_t maxAttempts = 3; ///< Targets that a request may be sent to.
constexpr milliseconds deadlineAfterGoal{1500}; ///< Time after the goal for which a caller waits.
constexpr milliseconds arrivalInterval{20}; ///< Interval in which arrivals at a target are counted.
constexpr double kneeSlowdown = 3; ///< Factor by which a target is slower above its knee.

const char *const homePool = "p";

} // namespace

speed_simulation::speed_simulation(const std::vector<double> &speeds, std::size_t daemons, bool learnsSpeeds,
                                   std::uint64_t seed)
    : targets(speeds.size())
    , balances(daemons)
    , members(speeds.size())
    , learns(learnsSpeeds)
    , random(seed)
{
    for (std::size_t index = 0; index < speeds.size(); ++index) {
        targets[index].speed = speeds[index];
        auto &admission = targets[index].admission;
        admission.hasTarget = true;
        admission.enforceGoals = true;
        admission.limits.concurrency = slots;
        admission.limits.queue = 32;
        admission.serviceMs = 100;
        admission.announcedAt = now - std::chrono::seconds(60);
        admission.speed.enabled = learns;
        members[index].id.value = "t" + std::to_string(index);
        members[index].region.value = "north";
        members[index].domain.value = "north-1";
        members[index].target.slots = slots;
        members[index].target.pool.value = homePool;
    }
    for (const auto &member : members) {
        memberList.push_back(&member);
    }
}

std::size_t speed_simulation::run(double perSecond, milliseconds span)
{
    results.emplace_back();
    for (const auto until = now + span; now < until;) {
        step(perSecond);
    }
    return results.size() - 1;
}

void speed_simulation::step(double perSecond)
{
    now += milliseconds(1);
    for (auto count = std::poisson_distribution<int>(perSecond / 1000)(random); count > 0; --count) {
        arrive(random() % 2 == 0);
    }
    while (!events.empty() && events.begin()->first <= now) {
        const auto event = std::move(events.begin()->second);
        events.erase(events.begin());
        event();
    }
    for (std::size_t target = 0; target < targets.size(); ++target) {
        work(target);
    }
}

void speed_simulation::arrive(bool urgent)
{
    simulated_request simulated;
    simulated.request.id = ++lastId;
    simulated.request.rank = urgent ? 1 : 2;
    simulated.request.goal = now + (urgent ? urgentGoal : normalGoal);
    simulated.request.deadline = simulated.request.goal + deadlineAfterGoal;
    simulated.daemon = random() % balances.size();
    simulated.run = results.size() - 1;
    ++(urgent ? results.back().urgent : results.back().normal);
    const auto id = simulated.request.id;
    requests.emplace(id, std::move(simulated));
    send(id);
}

void speed_simulation::send(std::uint64_t id)
{
    auto &simulated = requests.at(id);
    auto &balance = balances[simulated.daemon];
    const balancer_location location{{"d" + std::to_string(simulated.daemon)}, {"north"}, {"north-1"}};
    const auto *member = learns ? chooseByCompletion(balance, memberList, simulated.tried, location, random, now)
                                : chooseTarget(balance, memberList, simulated.tried, location, random, now);
    simulated.target = static_cast<std::size_t>(member - members.data());
    simulated.tried.insert(member->id);
    simulated.sentAt = now;
    recordStart(balance, member->id);
    ++targets[simulated.target].arrivals[now.time_since_epoch() / arrivalInterval];
    events.emplace(now + linkTime, [this, id] { receive(id); });
}

void speed_simulation::receive(std::uint64_t id)
{
    const auto &simulated = requests.at(id);
    const auto result = admit(targets[simulated.target].admission, simulated.request, now);
    if (result.admitted) {
        begin(id, now);
    } else if (!result.queued) {
        respond(id, false);
    }
}

void speed_simulation::begin(std::uint64_t id, steady_time at)
{
    const auto &simulated = requests.at(id);
    const auto mean = isUrgent(simulated.request) ? urgentWorkMs : normalWorkMs;
    const auto needed = std::lognormal_distribution<>(std::log(mean) - 0.02, 0.2)(random);
    targets[simulated.target].running.push_back({id, needed, at});
}

void speed_simulation::work(std::size_t index)
{
    auto &target = targets[index];
    const bool pastKnee = target.running.size() > target.kneeAt;
    const auto rate = target.speed / target.slowdown / (pastKnee ? kneeSlowdown : 1);
    std::vector<speed_target::work> finished;
    std::erase_if(target.running, [&](auto &work) {
        target.busyMs += std::min(work.leftMs, rate);
        work.leftMs -= rate;
        if (work.leftMs <= 0) {
            finished.push_back(work);
        }
        return work.leftMs <= 0;
    });
    for (const auto &work : finished) {
        finishRequest(target.admission, requests.at(work.id).request, true,
                      std::chrono::duration_cast<milliseconds>(now - work.startedAt), now);
        respond(work.id, true);
    }
    for (const auto &decided : advanceQueue(target.admission, now)) {
        if (decided.result.admitted) {
            begin(decided.id, now);
        } else {
            respond(decided.id, false);
        }
    }
}

void speed_simulation::respond(std::uint64_t id, bool answered)
{
    const auto &simulated = requests.at(id);
    const auto &admission = targets[simulated.target].admission;
    const bool urgent = isUrgent(simulated.request);
    const speed_report report{std::round(expectedServiceMs(admission, urgent)),
                              std::round(loadPerSlot(admission, now) * 100) / 100,
                              {urgent}};
    events.emplace(now + linkTime, [this, id, answered, report] { conclude(id, answered, report); });
}

void speed_simulation::conclude(std::uint64_t id, bool answered, const speed_report &report)
{
    auto &simulated = requests.at(id);
    auto &balance = balances[simulated.daemon];
    const auto &member = members[simulated.target];
    if (learns) {
        recordSpeed(balance, member, report, now);
    } else {
        recordLoad(balance, member.id, report.loadPerSlot, now);
    }
    recordResult(balance, member.id, answered, std::chrono::duration_cast<milliseconds>(now - simulated.sentAt), now);
    if (!answered && simulated.tried.size() < maxAttempts) {
        send(id);
        return;
    }
    auto &result = results[simulated.run];
    if (!answered) {
        ++result.refused;
    } else if (now <= simulated.request.goal) {
        ++(isUrgent(simulated.request) ? result.urgentInTime : result.normalInTime);
    }
    requests.erase(id);
}

} // namespace quetzalspool::test
