/** @file cell_simulation.h Simulation of the daemons of one cell, with simulated datagrams, store and time. */
#ifndef CELL_SIMULATION_H
#define CELL_SIMULATION_H

#include "cell_func.h"
#include "lease_func.h"
#include "record_func.h"

#include <queue>
#include <random>
#include <set>

namespace quetzalspool::test {

/** A daemon of the simulated cell. */
struct simulated_daemon
{
    cell_state state; ///< State for the cell.
    bool alive = true; ///< Whether its process is running.
    steady_time pausedUntil{}; ///< End of the pause of its process.
    std::set<fenced_slot> draining; ///< Released slots with requests in flight.
};

/** An event scheduled for a point in simulated time. */
struct scheduled_event
{
    steady_time at{}; ///< Time of the event.
    std::uint64_t order = 0; ///< Sequence number; events of the same time run in this order.
    std::function<void()> run; ///< Function to call.

    bool operator<(const scheduled_event &other) const
    {
        return std::tie(at, order) > std::tie(other.at, other.order);
    }
};

/** The simulated cell. Its functions and public members inject faults. */
class cell_simulation
{
public:
    explicit cell_simulation(std::uint64_t seed, std::size_t count, cell_timing timing = {})
        : timing(timing)
        , random(seed)
    {
        for (std::size_t index = 0; index < count; ++index) {
            daemons.push_back({makeState(index)});
        }
    }

    /** Advances the time by a span in steps, and checks after each that no slot has two owners. */
    void run(milliseconds span)
    {
        const auto end = now + span;
        while (now < end) {
            now += stepLength;
            while (!events.empty() && events.top().at <= now) {
                auto event = events.top();
                events.pop();
                event.run();
            }
            for (std::size_t index = 0; index < daemons.size(); ++index) {
                if (runs(index)) {
                    apply(index, tick(daemons[index].state, now));
                }
            }
            checkOwners();
        }
    }

    /** Restarts a daemon. The new run keeps no state of the previous one. */
    void restart(std::size_t index)
    {
        ++incarnations;
        daemons[index] = {makeState(index)};
    }

    void kill(std::size_t index)
    {
        daemons[index].alive = false;
    }

    void pause(std::size_t index, milliseconds span)
    {
        daemons[index].pausedUntil = now + span;
    }

    /** Lists the daemons that may serve a slot now. More than one is a violation. */
    std::vector<std::size_t> owners(slot_number slot) const
    {
        std::vector<std::size_t> result;
        for (std::size_t index = 0; index < daemons.size(); ++index) {
            const auto &daemon = daemons[index];
            if (!daemon.alive || daemon.state.lease.validUntil <= now) {
                continue;
            }
            for (const auto &served : servedSlots(daemon.state)) {
                if (served.slot == slot) {
                    result.push_back(index);
                }
            }
            // As in the daemon's gate: admitted requests are handed over only while the released slot is draining.
            for (const auto &slotDraining : drainingSlots(daemon.state)) {
                if (slotDraining.slot == slot && daemon.draining.contains(slotDraining)) {
                    result.push_back(index);
                }
            }
        }
        return result;
    }

    /** Counts the slots that a daemon may serve. */
    std::size_t servedCount() const
    {
        std::size_t count = 0;
        for (std::uint32_t slot = 0; slot < slotCount; ++slot) {
            count += owners({slot}).empty() ? 0 : 1;
        }
        return count;
    }

    /** Runs until all slots are served, for at most the given span. */
    bool runUntilServed(milliseconds span)
    {
        const auto end = now + span;
        while (now < end && servedCount() != slotCount) {
            run(stepLength);
        }
        return servedCount() == slotCount;
    }

    static instance_id nameOf(std::size_t index)
    {
        return {"d" + std::to_string(index)};
    }

    static constexpr std::uint32_t slotCount = 12;
    static constexpr milliseconds stepLength{10};
    cell_timing timing;
    std::mt19937_64 random;
    steady_time now{std::chrono::hours(1)};
    std::vector<simulated_daemon> daemons;
    std::set<std::pair<std::size_t, std::size_t>>
        partitions; ///< Directed pairs of daemons between which all messages are lost.
    double lossRate = 0; ///< Probability that a message is lost.
    bool storeDown = false; ///< Whether the store is unavailable.
    double lostAnswerRate = 0; ///< Probability that the response to a successful write is lost.
    std::vector<std::string> violations; ///< Descriptions of the times at which a slot had two owners.
    stored_record stored; ///< Record in the store.
    std::uint64_t storeWrites = 0; ///< Number of successful writes.
    std::uint64_t storeReads = 0; ///< Number of reads.
    std::uint64_t datagrams = 0; ///< Number of datagrams sent.
    bool announceRecords = true; ///< Whether a stored record is sent to all other daemons.

    void partition(std::size_t a, std::size_t b)
    {
        partitions.insert({a, b});
        partitions.insert({b, a});
    }

    void heal()
    {
        partitions.clear();
    }

private:
    bool runs(std::size_t index) const
    {
        return daemons[index].alive && daemons[index].pausedUntil <= now;
    }

    cell_state makeState(std::size_t index)
    {
        cell_member self;
        self.id = nameOf(index);
        self.incarnation.value = 1000 + incarnations * 100 + index;
        self.domain.value = "domain" + std::to_string(index % 2);
        self.endpoints = {"127.0.0.1", 1, static_cast<std::uint16_t>(index + 1), 1};
        self.target = {pool_id{"pool"}, {"127.0.0.1", 1}, 12, 100, true};
        auto state = startCell(cell_id{"cell"}, self, true, timing, now);
        auto &plan = state.plans[pool_id{"pool"}];
        for (std::uint32_t slot = 0; slot < slotCount; ++slot) {
            plan.slots.push_back({slot});
        }
        return state;
    }

    void schedule(milliseconds delay, std::function<void()> run)
    {
        events.push({now + delay, ++order, std::move(run)});
    }

    milliseconds delay()
    {
        return milliseconds(1 + random() % 15);
    }

    bool chance(double rate)
    {
        return std::uniform_real_distribution<>(0, 1)(random) < rate;
    }

    /** Runs an event at a daemon when it is not paused. The event is dropped if that run of the daemon has ended. */
    void deliver(std::size_t to, incarnation_id incarnation, std::function<void()> run)
    {
        auto &daemon = daemons[to];
        if (!daemon.alive || daemon.state.self.incarnation != incarnation) {
            return;
        }
        if (daemon.pausedUntil > now) {
            events.push({daemon.pausedUntil, ++order,
                         [this, to, incarnation, run = std::move(run)] { deliver(to, incarnation, run); }});
            return;
        }
        run();
    }

    void apply(std::size_t from, cell_actions actions)
    {
        for (auto &action : actions) {
            std::visit([&](auto &typed) { perform(from, typed); }, action);
        }
    }

    void perform(std::size_t from, send_action &send)
    {
        ++datagrams;
        const std::size_t to = send.to.port - 1U;
        if (partitions.contains({from, to}) || chance(lossRate)) {
            return;
        }
        last_reason why;
        auto message = decodeMessage(encodeMessage(send.message), why);
        const endpoint answerTo{"127.0.0.1", static_cast<std::uint16_t>(from + 1)};
        schedule(delay(), [this, to, message, answerTo] {
            deliver(to, daemons[to].state.self.incarnation, [this, to, message, answerTo] {
                apply(to, handleMessage(daemons[to].state, *message, answerTo, now));
            });
        });
    }

    void perform(std::size_t from, write_action &write)
    {
        const auto incarnation = daemons[from].state.self.incarnation;
        schedule(delay(), [this, from, incarnation, write] {
            if (storeDown) {
                answerWrite(from, incarnation, write.record, write_outcome::unclear, {});
                return;
            }
            if (stored.revision != write.expected) {
                answerWrite(from, incarnation, write.record, write_outcome::conflicted, {});
                return;
            }
            last_reason why;
            stored = {*parseRecord(formatRecord(write.record), why), {stored.revision.value + 1}};
            ++storeWrites;
            announce(from);
            answerWrite(from, incarnation, write.record,
                        chance(lostAnswerRate) ? write_outcome::unclear : write_outcome::stored, stored.revision);
        });
    }

    void answerWrite(std::size_t to, incarnation_id incarnation, const cell_record &record, write_outcome outcome,
                     revision_number revision)
    {
        schedule(outcome == write_outcome::unclear ? milliseconds(200) : delay(), [=, this] {
            deliver(to, incarnation,
                    [=, this] { apply(to, completeWrite(daemons[to].state, record, outcome, revision, now)); });
        });
    }

    void announce(std::size_t from)
    {
        for (std::size_t to = 0; announceRecords && to < daemons.size(); ++to) {
            if (to == from || partitions.contains({from, to}) || chance(lossRate)) {
                continue;
            }
            schedule(delay() + delay(), [this, to, value = stored] {
                deliver(to, daemons[to].state.self.incarnation,
                        [this, to, value] { applyRecord(daemons[to].state, value, now); });
            });
        }
    }

    void perform(std::size_t from, read_action & /*read*/)
    {
        const auto incarnation = daemons[from].state.self.incarnation;
        ++storeReads;
        schedule(delay(), [this, from, incarnation] {
            const bool down = storeDown;
            const auto value = stored;
            schedule(delay(), [=, this] {
                deliver(from, incarnation, [=, this] {
                    auto &state = daemons[from].state;
                    down ? failRead(state, now) : completeRead(state, value, now);
                });
            });
        });
    }

    void perform(std::size_t to, fetch_action &fetch)
    {
        const std::size_t from = fetch.from.port - 1U;
        if (partitions.contains({to, from}) || partitions.contains({from, to}) || !runs(from)) {
            return;
        }
        const auto incarnation = daemons[to].state.self.incarnation;
        schedule(delay() + delay(), [this, to, incarnation, value = daemons[from].state.stored] {
            deliver(to, incarnation, [this, to, value] { applyRecord(daemons[to].state, value, now); });
        });
    }

    void perform(std::size_t from, drain_action &drain)
    {
        daemons[from].draining.insert(drain.slot);
        const auto incarnation = daemons[from].state.self.incarnation;
        schedule(delay() + delay(), [this, from, incarnation, slot = drain.slot] {
            deliver(from, incarnation, [this, from, slot] {
                daemons[from].draining.erase(slot);
                apply(from, completeDrain(daemons[from].state, slot));
            });
        });
    }

    void checkOwners()
    {
        for (std::uint32_t slot = 0; slot < slotCount; ++slot) {
            const auto found = owners({slot});
            if (std::set<std::size_t>(found.begin(), found.end()).size() > 1) {
                violations.push_back("slot " + std::to_string(slot) + " owned by " + nameOf(found[0]).value + " and "
                                     + nameOf(found[1]).value + " at "
                                     + std::to_string(now.time_since_epoch().count() / 1000000) + " ms");
            }
        }
    }

    std::priority_queue<scheduled_event> events;
    std::uint64_t order = 0;
    std::uint64_t incarnations = 0;
};

} // namespace quetzalspool::test

#endif // CELL_SIMULATION_H
