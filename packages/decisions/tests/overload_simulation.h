/** @file overload_simulation.h Two services under simulated time, of which one calls the other, and their callers. */
#ifndef OVERLOAD_SIMULATION_H
#define OVERLOAD_SIMULATION_H

#include "admission_base.h"

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace quetzalspool::test {

/** A kind of request that callers send. */
struct overload_kind
{
    std::size_t service = 0; ///< Service that it is for.
    double perSecond = 0; ///< First attempts per second under normal load.
    std::uint32_t rank = 2; ///< Rank of its route.
    milliseconds work{100}; ///< Mean service time without its calls.
    milliseconds goal{500}; ///< Time from the caller's first attempt within which the response is in time.
    milliseconds deadline{1500}; ///< Time from the caller's first attempt after which it no longer waits.
    double callShare = 0; ///< Share of the requests that make two calls to the other service.
    double failShare = 0; ///< Share of the requests that the target fails for a reason of its own.
};

/** The calls that targets of the first service make. */
struct overload_calls
{
    std::size_t service = 1; ///< Service that is called.
    std::uint32_t rank = 2; ///< Rank of the called route.
    milliseconds work{22}; ///< Mean service time of a call.
    milliseconds goal{150}; ///< Latency goal of the called route.
    milliseconds deadline{500}; ///< Time after which the calling target no longer waits.
};

/** Factor by which a slowed target takes longer. */
constexpr double slowFactor = 3;

/** A scenario. */
struct overload_setup
{
    std::vector<std::uint32_t> targets{22, 4}; ///< Targets of each service, with 8 slots each.
    std::vector<overload_kind> kinds; ///< What callers send.
    overload_calls calls; ///< Calls between the services.
    int returns = 1; ///< How often a caller comes back after a refusal.
    double slowShare = 0; ///< Share of the requests and calls whose target is slowed by `slowFactor` at that moment.
    bool followCalls = true; ///< Whether calls are recognized and fresh requests throttled.
};

/** What the callers of one kind got. */
struct caller_counts
{
    int asked = 0; ///< Callers.
    int inTime = 0; ///< Responses within the goal.
    int late = 0; ///< Responses after the goal.
    int failed = 0; ///< Responses with a failure of the target, or none: work was lost.
    int refused = 0; ///< Refused, also after all returns.
    int returned = 0; ///< Callers that came back after a refusal.
    int returnedInTime = 0; ///< Of those, responses within the goal.
};

/** The simulation. Its time advances in steps of a millisecond. */
class overload_simulation
{
public:
    /**
     * Makes the targets, all idle.
     * @param setup Scenario.
     */
    explicit overload_simulation(const overload_setup &setup);

    ~overload_simulation();

    /**
     * Runs a load.
     * @param factors Factor on the normal load of each kind.
     * @param span Time in which requests arrive.
     * @return What the callers that arrive in this time get, by kind; complete once a later load has lasted for longer
     *         than their deadlines.
     */
    std::shared_ptr<const std::vector<caller_counts>> run(const std::vector<double> &factors, milliseconds span);

    /** Calls refused so far. */
    int refusedCalls() const;

    /** Fresh requests refused by the throttle so far. */
    int throttledRequests() const;

private:
    struct simulated_request;
    struct simulated_target;
    using request_ptr = std::shared_ptr<simulated_request>;

    void arrive(std::size_t kind);
    void submit(const request_ptr &request);
    void submitTo(const request_ptr &request, std::size_t at);
    void begin(const request_ptr &request);
    void advanceWork(const request_ptr &request);
    void makeCall(const request_ptr &parent);
    void endCall(const request_ptr &call, bool answered);
    void finish(const request_ptr &request, bool answered);
    void refuse(const request_ptr &request, milliseconds retryAfter);
    void record(const request_ptr &request, bool answered);
    void applyDecisions();
    void step();
    double drawSlowdown();
    void schedule(milliseconds after, std::function<void()> action);
    bool throttles(const request_ptr &request, simulated_target &target, milliseconds &retryAfter);

    overload_setup setup;
    std::vector<std::vector<simulated_target>> services;
    std::multimap<steady_time, std::function<void()>> timers;
    steady_time now{std::chrono::hours(1)};
    std::mt19937_64 random{11};
    std::uint64_t lastId = 0;
    std::map<std::uint64_t, request_ptr> waiting;
    std::vector<double> retryTokens;
    std::shared_ptr<std::vector<caller_counts>> counts;
    int callsRefused = 0;
    int throttled = 0;
};

} // namespace quetzalspool::test

#endif // OVERLOAD_SIMULATION_H
