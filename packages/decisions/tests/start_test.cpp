/** @file start_test.cpp Which daemon reads the store when many start at once. */
#include "mirror_func.h"
#include "start_func.h"

#include <gtest/gtest.h>
#include <set>

namespace quetzalspool::test {

namespace {

const steady_time start{std::chrono::hours(1)};
const endpoint own{"10.0.0.1", 700};
const endpoint other{"10.0.0.2", 700};

start_state begin()
{
    start_state state;
    state.self = own;
    state.startedAt = start;
    return state;
}

/** Entries of a fleet, as they are stored. */
mirror_update fleetUpdate(int nodes)
{
    mirror_update update;
    update.snapshot = true;
    update.revision = {nodes};
    for (int node = 0; node < nodes; ++node) {
        const auto name = "instance-north-" + std::to_string(node);
        const auto port = std::to_string(8000 + node);
        update.changes.push_back({"quetzalspool/nodes/" + name,
                                  {R"({"id":")" + name + R"(","region":"north","domain":"north-a","host":"10.1.0.)"
                                       + std::to_string(node % 250) + R"(","peers":)" + port
                                       + R"(,"target_id":"i-7f3a91c2","target_born":1780000000000,"slots":8})",
                                   {node + 1},
                                   false}});
    }
    return update;
}

} // namespace

// Guards against a fleet whose daemons all read the whole store over one link at their start.
TEST(start, ofManyThatStartTogetherOneOfEachGroupReadsTheStore)
{
    std::map<std::string, endpoint> readers;
    int direct = 0;
    for (int node = 0; node < 75; ++node) {
        auto state = begin();
        state.self = {"10.0.0." + std::to_string(node), 700};
        applyReader(state, std::nullopt, {}, start);
        ASSERT_EQ(nextStartStep(state, start), start_step::claim);
        const auto group = startGroup({"north-a"}, {"instance-north-" + std::to_string(node)});
        const auto [reader, won] = readers.emplace(group, state.self); // The write is conditional on no reader.
        state.claimed = won;
        if (!won) {
            applyReader(state, reader->second, {1}, start);
        }
        const auto step = nextStartStep(state, start + milliseconds(1));
        EXPECT_EQ(step, won ? start_step::read_store : start_step::ask);
        direct += step == start_step::read_store ? 1 : 0;
    }
    EXPECT_EQ(direct, static_cast<int>(startGroupsPerDomain));
}

// Guards against daemons that wait for a reader that has ended or is cut off.
TEST(start, aReaderThatDoesNotRespondIsReplaced)
{
    auto state = begin();
    applyReader(state, other, {5}, start);
    EXPECT_EQ(nextStartStep(state, start), start_step::ask);
    state.silentAnswers = 1;
    EXPECT_EQ(nextStartStep(state, start), start_step::ask);
    state.silentAnswers = 2;
    EXPECT_EQ(nextStartStep(state, start), start_step::claim);
    state.claims = 1;
    applyReader(state, endpoint{"10.0.0.3", 700}, {6}, start); // Another daemon was faster.
    EXPECT_EQ(nextStartStep(state, start), start_step::ask);
}

// Guards against a start that never ends because the reader itself gets no copy.
TEST(start, aReaderWithoutACopyIsReplacedAfterAWhileAndTheStoreIsReadInTheEnd)
{
    auto state = begin();
    applyReader(state, other, {5}, start);
    EXPECT_EQ(nextStartStep(state, start + milliseconds(1999)), start_step::ask);
    EXPECT_EQ(nextStartStep(state, start + milliseconds(2000)), start_step::claim);
    state.claims = 2;
    EXPECT_EQ(nextStartStep(state, start + milliseconds(2000)), start_step::read_store);
    state.claims = 0;
    applyReader(state, other, {7}, start + milliseconds(3000));
    EXPECT_EQ(nextStartStep(state, start + milliseconds(3499)), start_step::ask);
    EXPECT_EQ(nextStartStep(state, start + milliseconds(3500)), start_step::read_store);
}

// Guards against a daemon that waits for itself after a restart, or for a store that does not answer.
TEST(start, theReaderItselfAndADaemonWithoutTheStoreDontWait)
{
    auto state = begin();
    applyReader(state, own, {5}, start);
    EXPECT_EQ(nextStartStep(state, start), start_step::read_store);
    applyReader(state, std::nullopt, {}, start);
    state.storeAnswers = false;
    EXPECT_EQ(nextStartStep(state, start), start_step::read_store);
}

// Guards against a value of another writer that is taken for an address.
TEST(start, onlyAnAddressNamesAReader)
{
    EXPECT_EQ(parseReader(formatReader(other)), other);
    for (const auto *text : {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:70000", "name:700", "10.0.0.1:7x",
                             ":700", "10.0.0.1:-1"}) {
        EXPECT_EQ(parseReader(text), std::nullopt) << text;
    }
}

// Guards against copies that grow with the fleet faster than the links of its machines: 300 entries took 75 kB.
TEST(start, theEntriesOfAFleetAreSentCompressed)
{
    changes_response response;
    response.updates = {fleetUpdate(300)};
    const auto plain = encodeChanges(response);
    response.packedUpdates = packUpdates(response.updates);
    const auto packed = encodeChanges(response);
    std::cout << "figure entries of 300 nodes: " << plain.size() << " bytes, compressed " << packed.size() << "\n";
    EXPECT_LT(packed.size() * 5, plain.size());
    last_reason why;
    const auto decoded = decodeChanges(packed, why);
    ASSERT_TRUE(decoded) << describe(why);
    EXPECT_EQ(decoded->updates, response.updates);
}

// Guards against bytes of a faulty daemon that end the process or are taken for changes.
TEST(start, damagedCompressedUpdatesAreRefused)
{
    changes_response response;
    response.updates = {fleetUpdate(30)};
    response.packedUpdates = packUpdates(response.updates);
    for (std::size_t at = 0; at < response.packedUpdates.size(); at += 7) {
        auto damaged = response;
        damaged.packedUpdates[at] = static_cast<char>(damaged.packedUpdates[at] ^ 0x55);
        last_reason why;
        const auto decoded = decodeChanges(encodeChanges(damaged), why);
        EXPECT_TRUE(!decoded || decoded->updates == response.updates) << at;
    }
    EXPECT_TRUE(packUpdates({fleetUpdate(1)}).empty()) << "too small to gain from it";
}

} // namespace quetzalspool::test
