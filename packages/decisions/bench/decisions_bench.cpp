/** @file decisions_bench.cpp Time per step of the decisions, for different numbers of instances. */
#include "admission_func.h"
#include "catalog_func.h"
#include "cell_func.h"
#include "completion_choice_func.h"
#include "lease_func.h"
#include "message_type.h"
#include "placement_func.h"
#include "record_func.h"
#include "routing_func.h"
#include "row_func.h"

#include <benchmark/benchmark.h>

namespace quetzalspool {

namespace {

constexpr std::uint32_t membersPerCell = 12;
constexpr std::uint32_t slotsPerMember = 16;

cell_record makeRecord(std::uint32_t cell, std::uint32_t members, std::uint32_t firstSlot)
{
    cell_record record;
    record.id.value = "cell-" + std::to_string(cell);
    for (std::uint32_t index = 0; index < members; ++index) {
        cell_member member;
        member.id.value = "instance-" + std::to_string(cell) + "-" + std::to_string(index);
        member.incarnation.value = 0x123456789abcdefULL + index;
        member.term.value = 100 + index;
        member.region.value = "region-1";
        member.domain.value = "domain-" + std::to_string(index % 3);
        member.endpoints = {"10.1.2.3", 7000, 7001, 7002};
        member.target = {pool_id{"pool"}, {"10.1.2.3", 8080}, 12, 110, true};
        record.members.push_back(member);
        if (record.voters.size() < 5) {
            record.voters.push_back({member.id, member.incarnation, index + 1, member.domain, {"10.1.2.3", 7001}});
        }
    }
    auto &slots = record.pools[pool_id{"pool"}];
    for (std::uint32_t slot = 0; slot < members * slotsPerMember; ++slot) {
        slots.push_back({{firstSlot + slot}, record.members[slot % members].id, {1000}});
    }
    record.writeId = "instance-0-1234567890-1";
    return record;
}

document makeDocument(const cell_record &record, std::int64_t revision)
{
    return {"cells/" + record.id.value, {revision}, std::make_shared<const std::string>(formatRecord(record))};
}

/** Makes the routing view of a fleet. */
routing_view makeView(std::uint32_t instances)
{
    const auto cells = std::max<std::uint32_t>(1, instances / membersPerCell);
    routing_view view;
    last_reason why;
    pool_row pool{pool_id{"pool"}, true, cells * membersPerCell * slotsPerMember};
    for (std::uint32_t cell = 0; cell < cells; ++cell) {
        const auto record = makeRecord(cell, membersPerCell, cell * membersPerCell * slotsPerMember);
        pool.homes.push_back({record.id, 1});
        view = *withDocument(view, makeDocument(record, cell + 1), why);
    }
    const document row{"pools/pool", {100000}, std::make_shared<const std::string>(formatRow(pool))};
    return *withDocument(view, row, why);
}

void BM_lookup(benchmark::State &state)
{
    const auto view = makeView(static_cast<std::uint32_t>(state.range(0)));
    const pool_id pool{"pool"};
    const auto slots = view.pools.at(pool).row.slots;
    std::uint64_t number = 0;
    for (auto _ : state) {
        const auto slot = hashToSlot("formula-" + std::to_string(++number), slots);
        benchmark::DoNotOptimize(findOwner(view, pool, slot));
    }
}
BENCHMARK(BM_lookup)->Arg(12)->Arg(120)->Arg(1200)->Arg(20000);

void BM_viewUpdate(benchmark::State &state)
{
    const auto view = makeView(static_cast<std::uint32_t>(state.range(0)));
    const auto changed = makeDocument(makeRecord(0, membersPerCell, 0), 200000);
    last_reason why;
    for (auto _ : state) {
        benchmark::DoNotOptimize(withDocument(view, changed, why));
    }
}
BENCHMARK(BM_viewUpdate)->Arg(12)->Arg(120)->Arg(1200)->Arg(20000)->Unit(benchmark::kMicrosecond);

void BM_catalogCopy(benchmark::State &state)
{
    catalog_state catalog;
    for (std::int64_t cell = 0; cell < state.range(0) / membersPerCell + 1; ++cell) {
        applyDocument(catalog,
                      {"cells/cell-" + std::to_string(cell), {cell + 1}, std::make_shared<const std::string>("")});
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(std::make_shared<const catalog_state>(catalog));
    }
}
BENCHMARK(BM_catalogCopy)->Arg(12)->Arg(120)->Arg(1200)->Arg(20000)->Unit(benchmark::kMicrosecond);

void BM_digest(benchmark::State &state)
{
    catalog_state catalog;
    for (auto _ : state) {
        benchmark::DoNotOptimize(catalogDigest(catalog));
    }
}
BENCHMARK(BM_digest);

/** One renewal round of an owner with five voters, including their five responses. */
void BM_leaseRound(benchmark::State &state)
{
    const stored_record stored{makeRecord(0, membersPerCell, 0), {5}};
    const auto &self = stored.record.members.front();
    lease_state lease;
    lease.self = self.id;
    lease.incarnation = self.incarnation;
    const cell_timing timing;
    auto now = steady_time(std::chrono::hours(1));
    for (auto _ : state) {
        now += timing.renewInterval;
        const auto renewal = nextRenewal(lease, stored, timing, now);
        for (const auto &voter : stored.record.voters) {
            promise_message promise{renewal->cell, voter.incarnation, renewal->term, renewal->sequence, true};
            applyPromise(lease, promise, stored, timing, now);
        }
        benchmark::DoNotOptimize(lease.validUntil);
    }
}
BENCHMARK(BM_leaseRound);

/** One tick of a cell's coordinator, for different numbers of members. */
void BM_driverTick(benchmark::State &state)
{
    const stored_record stored{makeRecord(0, static_cast<std::uint32_t>(state.range(0)), 0), {5}};
    auto now = steady_time(std::chrono::hours(1));
    auto cell = startCell(stored.record.id, stored.record.members.front(), true, {}, now);
    applyRecord(cell, stored, now);
    now += std::chrono::seconds(2);
    for (auto _ : state) {
        now += milliseconds(20);
        for (const auto &member : stored.record.members) {
            cell.localVoter.memberPromises[member.id].lastRenewal = now;
        }
        benchmark::DoNotOptimize(tick(cell, now));
    }
}
BENCHMARK(BM_driverTick)->Arg(6)->Arg(12)->Arg(24)->Arg(48)->Unit(benchmark::kMicrosecond);

void BM_placement(benchmark::State &state)
{
    auto record = makeRecord(0, static_cast<std::uint32_t>(state.range(0)), 0);
    auto &slots = record.pools.begin()->second;
    for (auto &slot : slots) {
        slot.owner = slot.owner == record.members.front().id ? instance_id{} : slot.owner;
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(assignUnowned(record.members, pool_id{"pool"}, slots));
    }
}
BENCHMARK(BM_placement)->Arg(12)->Arg(48)->Arg(200)->Arg(2000)->Arg(20000)->Unit(benchmark::kMicrosecond);

void BM_admission(benchmark::State &state)
{
    admission_state admission;
    admission.hasTarget = true;
    admission.limits.concurrency = 12;
    auto now = steady_time(std::chrono::hours(1));
    const fenced_slot slot{pool_id{"pool"}, {1}, {5}};
    setServed(admission, {{slot}, {}}, now + std::chrono::hours(1), milliseconds(0), now);
    for (auto _ : state) {
        const admission_request request{1, slot, request_class::order, now + std::chrono::seconds(1)};
        benchmark::DoNotOptimize(admit(admission, request, now));
        finishRequest(admission, request, true, milliseconds(1), now);
    }
}
BENCHMARK(BM_admission);

/** Sizes of control messages and of a cell record in bytes, reported as counters. */
void BM_sizes(benchmark::State &state)
{
    const auto record = makeRecord(700, membersPerCell, 130000);
    const auto &self = record.members.front();
    for (auto _ : state) {
        benchmark::DoNotOptimize(formatRecord(record));
    }
    const renew_message renewal{record.id, self.id, {123456}, {40}, 12345678, {987654321}};
    const promise_message promise{record.id, self.incarnation, {123456}, 12345678, true, false, {987654321}};
    const announce_document_message announce{self.id, "cells/cell-700", {987654321}};
    const digest_message digest{self.id, 0x123456789abcdefULL};
    state.counters["renew"] = static_cast<double>(encodeMessage(renewal).size());
    state.counters["vouch"] = static_cast<double>(encodeMessage(promise).size());
    state.counters["end"] =
        static_cast<double>(encodeMessage(end_term_message{record.id, self.id, self.id, {123456}}).size());
    state.counters["announce"] = static_cast<double>(encodeMessage(announce).size());
    state.counters["digest"] = static_cast<double>(encodeMessage(digest).size());
    state.counters["record"] = static_cast<double>(formatRecord(record).size());
}
BENCHMARK(BM_sizes)->Unit(benchmark::kMicrosecond);

/** Choice of a target by expected completion, with recent reports of all targets. */
void BM_choice(benchmark::State &state)
{
    const auto now = steady_time(std::chrono::hours(1));
    const auto record = makeRecord(0, static_cast<std::uint32_t>(state.range(0)), 0);
    balance_state balance;
    std::vector<const cell_member *> members;
    for (const auto &member : record.members) {
        members.push_back(&member);
        const auto count = static_cast<double>(members.size());
        recordSpeed(balance, member, {100 + count, 0.5, {}}, now);
    }
    const balancer_location location{record.members.back().id, {"region-1"}, {"domain-1"}};
    std::mt19937_64 random(1);
    for (auto _ : state) {
        benchmark::DoNotOptimize(chooseByCompletion(balance, members, {}, location, random, now));
    }
}
BENCHMARK(BM_choice)->Arg(24)->Arg(300)->Arg(2000);

} // namespace

} // namespace quetzalspool

BENCHMARK_MAIN();
