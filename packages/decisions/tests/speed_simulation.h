/** @file speed_simulation.h Simulated forwarding daemons and targets of different speeds. */
#ifndef SPEED_SIMULATION_H
#define SPEED_SIMULATION_H

#include "admission_estimate_func.h"
#include "admission_func.h"
#include "completion_choice_func.h"

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace quetzalspool::test {

/** A simulated target and the daemon beside it. */
struct speed_target
{
    /** A request that the target works on. */
    struct work
    {
        std::uint64_t id = 0; ///< Number of the request.
        double leftMs = 0; ///< Work left, at speed 1.
        steady_time startedAt{}; ///< When it was handed over.
    };

    double speed = 1; ///< Work done in a unit of time.
    double slowdown = 1; ///< Factor by which it is slower at present.
    std::uint32_t kneeAt = 1000; ///< Requests in progress above which all of them slow down.
    admission_state admission; ///< Admission of its daemon.
    std::vector<work> running; ///< Requests in progress.
    std::map<milliseconds::rep, std::uint32_t> arrivals; ///< Requests sent there, by intervals of 20 ms.
    double busyMs = 0; ///< Work done, at speed 1.
};

/** Figures of a run. */
struct speed_result
{
    int urgent = 0; ///< Urgent requests.
    int urgentInTime = 0; ///< Those answered within their goal.
    int normal = 0; ///< Normal requests.
    int normalInTime = 0; ///< Those answered within their goal.
    int refused = 0; ///< Requests refused by every target that was tried.
};

/** Share of requests answered in time. */
inline double shareInTime(const speed_result &result)
{
    return static_cast<double>(result.urgentInTime + result.normalInTime) / std::max(result.urgent + result.normal, 1);
}

/** Daemons that forward requests to targets, in simulated steps of 1 ms. Reports travel with responses only. */
class speed_simulation
{
public:
    static constexpr double urgentWorkMs = 36; ///< Work of urgent requests at speed 1.
    static constexpr double normalWorkMs = 200; ///< Work of normal requests at speed 1.
    static constexpr milliseconds urgentGoal{150}; ///< Goal of urgent requests.
    static constexpr milliseconds normalGoal{800}; ///< Goal of normal requests.
    static constexpr std::uint32_t slots = 8; ///< Concurrency slots of a target.

    /**
     * Makes a simulation.
     * @param speeds Speeds of the targets.
     * @param daemons Number of forwarding daemons.
     * @param learns Whether speeds are learned.
     * @param seed Seed.
     */
    speed_simulation(const std::vector<double> &speeds, std::size_t daemons, bool learns, std::uint64_t seed);

    /**
     * Runs a load.
     * @param perSecond Requests per second, half of them urgent.
     * @param span Time.
     * @return Number of the run.
     */
    std::size_t run(double perSecond, milliseconds span);

    /**
     * Returns the figures of a run. They are complete once the requests that arrived in it are, a second or two later.
     * @param number Number of the run.
     * @return Figures.
     */
    const speed_result &resultOf(std::size_t number) const
    {
        return results.at(number);
    }

    std::vector<speed_target> targets; ///< Targets.
    std::vector<balance_state> balances; ///< State of the forwarding daemons.
    std::vector<cell_member> members; ///< Targets as members.
    steady_time now{std::chrono::hours(1)}; ///< Simulated time.

private:
    /** A request on its way. */
    struct simulated_request
    {
        admission_request request; ///< Request.
        std::size_t daemon = 0; ///< Forwarding daemon.
        std::size_t target = 0; ///< Target of the present attempt.
        std::set<instance_id> tried; ///< Targets tried.
        steady_time sentAt{}; ///< When the present attempt was sent.
        std::size_t run = 0; ///< Number of the run in which it arrived.
    };

    void arrive(bool urgent);
    void send(std::uint64_t id);
    void receive(std::uint64_t id);
    void begin(std::uint64_t id, steady_time at);
    void work(std::size_t target);
    void respond(std::uint64_t id, bool answered);
    void conclude(std::uint64_t id, bool answered, const speed_report &report);
    void step(double perSecond);

    bool learns;
    std::mt19937_64 random;
    std::uint64_t lastId = 0;
    std::vector<speed_result> results;
    std::map<std::uint64_t, simulated_request> requests;
    std::multimap<steady_time, std::function<void()>> events;
    std::vector<const cell_member *> memberList;
};

} // namespace quetzalspool::test

#endif // SPEED_SIMULATION_H
