/** @file main.cpp The cases that can't be put as a day: each plays a small deployment and checks one rule. */
#include "world.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <functional>
#include <iostream>

namespace review {

namespace {

using std::chrono::seconds;

constexpr int held = 0; ///< Exit code: the rule held.
constexpr int broken = 1; ///< Exit code: the rule was broken.
constexpr int notRun = 2; ///< Exit code: the case could not run.

constexpr std::size_t allKeys = 65536; ///< Keys of a sharded service.
constexpr milliseconds storeAwayTime{500}; ///< The store is away "for a moment".
constexpr milliseconds copyAge{4000}; ///< The copy from which it comes back is "some seconds old".
constexpr milliseconds rollGap{3000}; ///< From the start of a daemon to the stop of the next.
constexpr std::uint32_t hotKey = 32000; ///< A key that a quarter of the reads are about.
constexpr milliseconds contact{3000}; ///< Bound `contact` of the pages.
constexpr milliseconds configDeadline{2000}; ///< Bound `config_deadline` of the pages.
constexpr milliseconds drainBound{2000}; ///< Bound `drain` of the pages.

/** A configuration with a sharded service "desk" and a service "ledger", and a route "/vN/" for each version from 4. */
std::string makeConfig(int version)
{
    const auto route = [](const std::string &name, const std::string &prefix, const std::string &kind,
                          const std::string &service) {
        return json{{"name", name},        {"path_prefix", prefix},     {"kind", kind},
                    {"timeout", "5000ms"}, {"target_latency", "800ms"}, {"priority", 1},
                    {"service", service},  {"max_attempts", 2}};
    };
    auto paths = json::array({route("read", "/r/", "safe", "desk"), route("order", "/o/", "unsafe", "ledger"),
                              route("sheet", "/s/", "safe", "ledger")});
    for (int added = 4; added <= version; ++added) {
        const auto name = "v" + std::to_string(added);
        paths.push_back(route(name, "/" + name + "/", "safe", "ledger"));
    }
    const json limits{{"max_header_bytes", 16384},
                      {"max_body_bytes", 67108864},
                      {"header_timeout", "3000ms"},
                      {"idle_timeout", "15000ms"}};
    return json{{"version", version},
                {"services", {{{"name", "desk"}, {"sharded", true}}, {{"name", "ledger"}}}},
                {"limits", limits},
                {"virtual_hosts", {{{"host", "a.example"}, {"paths", paths}}}}}
        .dump();
}

std::vector<http_header> requestHeaders(const std::string &id, std::uint32_t key, milliseconds deadline)
{
    return {{"X-Request-Id", id},
            {"X-Shard-Key", std::to_string(key)},
            {"X-Deadline-Ms", std::to_string(deadline.count())}};
}

unsigned callSheet(world &play, const machine &through, const std::string &path, milliseconds deadline)
{
    return play.call(through, "GET", path, requestHeaders(play.newId(), 1, deadline), "", deadline + seconds(1)).status;
}

/** Whether a machine serves requests of the service "ledger". */
bool serves(world &play, const machine &through)
{
    return callSheet(play, through, "/s/1", milliseconds(1000)) == 200;
}

/** Clients that read keys at random through some machines, one request after the other, until they are stopped. */
class readers
{
public:
    readers(world &play, std::vector<machine *> through, milliseconds pause)
    {
        for (auto *at : through) {
            threads.emplace_back([this, &play, at, pause] {
                std::uint32_t key = 17;
                std::size_t count = 0;
                while (!stopped) {
                    key = (key * 40503U + 12345U) % allKeys;
                    const auto wanted = ++count % 4 == 0 ? hotKey : key;
                    const auto headers = requestHeaders(play.newId(), wanted, milliseconds(1200));
                    const auto status = play.call(*at, "GET", "/r/1", headers, "", milliseconds(1300)).status;
                    ++(status == 200 ? served : other);
                    std::this_thread::sleep_for(pause);
                }
            });
        }
    }

    ~readers()
    {
        stopped = true;
        for (auto &thread : threads) {
            thread.join();
        }
    }

    readers(const readers &) = delete;
    readers &operator=(const readers &) = delete;

    std::atomic<std::size_t> served{0}; ///< Requests with status 200.
    std::atomic<std::size_t> other{0}; ///< All others.

private:
    std::atomic<bool> stopped{false};
    std::vector<std::thread> threads;
};

/** Starts three machines of the service "desk" and two of "ledger", and waits until all keys are held. */
std::optional<std::vector<machine *>> startKeyed(world &play)
{
    play.put("op/config", makeConfig(3));
    std::vector<machine *> machines;
    for (const bool keyed : {true, true, true, false, false}) {
        machines.push_back(&play.addMachine(keyed ? "desk" : "ledger", keyed));
    }
    for (auto *at : machines) {
        play.startDaemon(*at);
        play.startServer(*at);
    }
    const bool ready = world::eventually(seconds(25), [&] {
        return play.heldKeys("desk") == allKeys && serves(play, *machines[0]) && serves(play, *machines[2]);
    });
    return ready ? std::optional(machines) : std::nullopt;
}

/**
 * A server joins and gets keys, the store comes back from a copy of before, and the daemons are stopped and started in
 * turn. Without the trouble, the store stays as it is.
 */
int playLostOwners(world &play, bool trouble)
{
    const auto machines = startKeyed(play);
    if (!machines) {
        return notRun;
    }
    const readers clients(play, {machines->at(0), machines->at(1), machines->at(2), machines->at(3)}, milliseconds(10));
    std::this_thread::sleep_for(seconds(4));
    const auto owner = play.lastServerOf(hotKey);
    play.note("the busiest key is held by " + owner);
    auto &joining = play.addMachine("desk", true);
    play.startDaemon(joining);
    const auto &joined = play.startServer(joining);
    const auto hasKeys = [&] { return play.runsAt(joined.id, play.startedAt) > 20; };
    if (!world::eventually(seconds(20), hasKeys)) {
        play.note("the joining server got no keys in time");
        return notRun;
    }
    play.note("the joining server holds keys and serves");
    if (trouble) {
        play.comeBackFromCopy(storeAwayTime, copyAge);
    }
    std::this_thread::sleep_for(contact + milliseconds(1000));
    std::vector<machine *> all(*machines);
    all.push_back(&joining);
    for (auto *at : all) {
        play.stopDaemon(*at);
        play.startDaemon(*at);
        std::this_thread::sleep_for(rollGap);
    }
    std::this_thread::sleep_for(seconds(8));
    int result = held;
    for (const auto &seen : play.overlaps()) {
        const auto lasted = std::chrono::duration_cast<milliseconds>(seen.last - seen.since);
        std::string counts;
        bool both = true;
        const auto runs = play.runsDuring(seen);
        for (const auto &id : {seen.first, seen.second}) {
            const auto found = runs.find(id);
            counts += " " + id + " began " + std::to_string(found == runs.end() ? 0 : found->second);
            both = both && found != runs.end();
        }
        play.note(seen.first + " and " + seen.second + " both held key " + std::to_string(seen.key) + " for "
                  + std::to_string(lasted.count()) + " ms; of all requests" + counts);
        if (lasted > milliseconds(500)) {
            play.note("OWNER broken");
            result = broken;
        }
    }
    play.note(std::to_string(clients.served) + " reads served, " + std::to_string(clients.other) + " not");
    return result;
}

/** The configuration changes, the store comes back from a copy of before, and the configuration changes again. */
int playLostConfig(world &play, bool trouble)
{
    const auto machines = startKeyed(play);
    if (!machines) {
        return notRun;
    }
    const readers clients(play, {machines->at(0), machines->at(1), machines->at(2)}, milliseconds(20));
    std::this_thread::sleep_for(seconds(4));
    auto &joining = play.addMachine("desk", true);
    play.startDaemon(joining);
    const auto &joined = play.startServer(joining);
    const auto hasKeys = [&] { return play.runsAt(joined.id, play.startedAt) > 5; };
    if (!world::eventually(seconds(20), hasKeys)) {
        play.note("the joining server got no keys in time");
        return notRun;
    }
    play.put("op/config", makeConfig(4));
    std::this_thread::sleep_for(seconds(1));
    if (trouble) {
        play.comeBackFromCopy(storeAwayTime, copyAge);
    }
    std::this_thread::sleep_for(contact + milliseconds(1000));
    play.put("op/config", makeConfig(5));
    std::this_thread::sleep_for(configDeadline + milliseconds(500));
    std::size_t refused = 0;
    std::size_t served = 0;
    for (int round = 0; round < 20; ++round) {
        for (std::size_t at = 0; at < 3; ++at) {
            const auto older = callSheet(play, *machines->at(at), "/v4/1", milliseconds(1000));
            const auto newer = callSheet(play, *machines->at(at), "/v5/1", milliseconds(1000));
            refused += newer == 404 ? 1 : 0;
            served += newer == 200 ? 1 : 0;
            play.note(machines->at(at)->name + ": /v4/ answered " + std::to_string(older) + ", /v5/ answered "
                      + std::to_string(newer));
        }
        std::this_thread::sleep_for(milliseconds(500));
    }
    play.note("of the requests sent after the bound, " + std::to_string(refused) + " were refused with 404 and "
              + std::to_string(served) + " served");
    if (refused > 0) {
        play.note("CONFIG broken");
    }
    return refused > 0 ? broken : held;
}

/**
 * A daemon is stopped and started as planned, acknowledges the leave of its server, and a heartbeat of before the leave
 * comes late.
 */
int playForgottenLeave(world &play, bool trouble)
{
    play.put("op/config", makeConfig(3));
    auto &client = play.addMachine("desk", true);
    auto &staying = play.addMachine("ledger", false);
    auto &left = play.addMachine("ledger", false);
    server *leaver = nullptr;
    for (auto *at : {&client, &staying, &left}) {
        play.startDaemon(*at);
        auto &made = play.startServer(*at);
        leaver = at == &left ? &made : leaver;
    }
    const auto bothServe = [&] {
        return serves(play, client) && play.runsAt("i-n1", play.startedAt) > 0
            && play.runsAt("i-n2", play.startedAt) > 0;
    };
    if (!world::eventually(seconds(20), bothServe)) {
        return notRun;
    }
    std::this_thread::sleep_for(seconds(4));
    play.stopDaemon(left);
    leaver->beating = false;
    const auto lateSequence = ++leaver->sequence;
    play.note("the server sends a heartbeat, which is held up on its way");
    play.startDaemon(left);
    leaver->leaving = true;
    unsigned status = 0;
    if (!world::eventually(seconds(3), [&] { return (status = play.sendLeave(*leaver)) == 200; })) {
        return notRun;
    }
    const auto acknowledged = clock::now();
    play.note("the server's leave was acknowledged");
    std::this_thread::sleep_for(contact + milliseconds(500));
    if (trouble) {
        play.note("the heartbeat of before the leave arrives: status "
                  + std::to_string(play.sendLateHeartbeat(*leaver, lateSequence)));
    }
    for (int request = 0; request < 200; ++request) {
        callSheet(play, client, "/s/1", milliseconds(1000));
        std::this_thread::sleep_for(milliseconds(10));
    }
    const auto late = play.runsAt(leaver->id, acknowledged + drainBound + milliseconds(100));
    play.note(std::to_string(late) + " requests reached the server that left, later than `drain`");
    if (late > 0) {
        play.note("DRAIN broken");
    }
    return late > 0 ? broken : held;
}

/** A server sends additional bytes after a share of its answers, when the next answer is expected. */
int playExtraBytes(world &play, bool trouble)
{
    constexpr int everyNth = 34; // Just under a share of 0.03 of the answers.
    constexpr seconds lasts(5);
    constexpr seconds after(5);
    play.put("op/config", makeConfig(3));
    std::vector<machine *> machines;
    for (const bool keyed : {true, false, false}) {
        machines.push_back(&play.addMachine(keyed ? "desk" : "ledger", keyed));
        play.startDaemon(*machines.back());
        play.startServer(*machines.back());
    }
    if (!world::eventually(seconds(20), [&] { return serves(play, *machines[0]); })) {
        return notRun;
    }
    std::this_thread::sleep_for(seconds(3));
    if (trouble) {
        play.setExtraBytes({"i-n2"}, everyNth);
    }
    std::map<unsigned, std::size_t> answers;
    std::size_t unsignedAnswers = 0;
    const auto begun = clock::now();
    while (clock::now() < begun + lasts + after) {
        if (clock::now() > begun + lasts) {
            play.setExtraBytes({}, everyNth);
        }
        const auto id = play.newId();
        const auto answer =
            play.call(*machines[0], "GET", "/s/1", requestHeaders(id, 1, milliseconds(1200)), "", milliseconds(1300));
        ++answers[answer.status];
        const auto signature = quetzalspool::findHeader(answer.headers, "X-Response-Signature");
        if (answer.status == 200 && signature.empty()) {
            ++unsignedAnswers;
            play.note("MIXED broken: request " + id + " got a 200 without a signature, with the body \"" + answer.body
                      + "\" and the id \"" + quetzalspool::findHeader(answer.headers, "X-Request-Id") + "\"");
        }
    }
    for (const auto &[status, count] : answers) {
        play.note(std::to_string(count) + " answers with status " + std::to_string(status));
    }
    play.note(std::to_string(play.runsAt("i-n1", play.startedAt)) + " requests ran at i-n1, "
              + std::to_string(play.runsAt("i-n2", play.startedAt)) + " at i-n2");
    play.note(std::to_string(play.extraSent()) + " answers were followed by additional bytes; "
              + std::to_string(unsignedAnswers) + " clients got them as a success");
    return unsignedAnswers > 0 ? broken : held;
}

} // namespace

} // namespace review

int main(int count, char **words)
{
    if (count != 4) {
        std::cerr << "usage: standin CASE FOLDER REPOSITORY\n";
        return review::notRun;
    }
    using play_function = std::function<int(review::world &, bool)>;
    const std::map<std::string, play_function> cases{{"lost-owners", review::playLostOwners},
                                                     {"lost-config", review::playLostConfig},
                                                     {"forgotten-leave", review::playForgottenLeave},
                                                     {"extra-bytes", review::playExtraBytes}};
    const auto found = cases.find(words[1]);
    const char *trouble = std::getenv("TROUBLE");
    if (found == cases.end()) {
        return review::notRun;
    }
    try {
        review::world play(words[2], words[3]);
        const auto result = found->second(play, trouble == nullptr || std::string(trouble) != "0");
        play.note("exit " + std::to_string(result));
        return result;
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return review::notRun;
    }
}
