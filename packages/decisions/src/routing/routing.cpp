/** @file routing.cpp Building routing views and lookups in them. */
#include "allowed_regions_func.h"
#include "drained_domains_func.h"
#include "placement_func.h"
#include "record_func.h"
#include "roster_type.h"
#include "routing_func.h"
#include "row_func.h"

#include <algorithm>
#include <charconv>
#include <xxhash.h>

namespace quetzalspool {

namespace {

constexpr std::string_view cellPrefix = "cells/";
constexpr milliseconds domainDrainBound{5000}; ///< Time after a domain's row is accepted as drained from which no
                                               ///< request may reach its targets.
constexpr std::size_t watchingCellsPerRegion = 3; ///< Cells of each region whose coordinators watch the store.

std::shared_ptr<const cell_view> makeCellView(const cell_record &record, revision_number revision)
{
    auto view = std::make_shared<cell_view>();
    view->id = record.id;
    view->revision = revision;
    view->members = record.members;
    view->voters.reserve(record.voters.size());
    for (const auto &voter : record.voters) {
        view->voters.push_back(voter.id);
    }
    std::unordered_map<instance_id, std::int32_t> indexOf;
    for (std::size_t index = 0; index < record.members.size(); ++index) {
        indexOf[record.members[index].id] = static_cast<std::int32_t>(index);
    }
    for (const auto &[pool, slots] : record.pools) {
        auto &range = view->pools[pool];
        range.first = slots.empty() ? 0 : slots.front().slot.value;
        for (const auto &slot : slots) {
            const auto found = indexOf.find(slot.owner);
            range.owners.push_back({found == indexOf.end() ? -1 : found->second, slot.fence});
        }
    }
    return view;
}

pool_view makePoolView(const pool_row &row)
{
    pool_view view{row, {}};
    std::vector<std::pair<cell_id, std::uint32_t>> weights;
    weights.reserve(row.homes.size());
    for (const auto &home : row.homes) {
        weights.emplace_back(home.cell, home.weight);
    }
    const auto cells = row.keyed ? divideSlots(row.slots, weights) : std::vector<std::size_t>();
    for (std::size_t home = 0; home < weights.size(); ++home) {
        const auto end = std::upper_bound(cells.begin(), cells.end(), home);
        view.homeEnds.push_back(static_cast<std::uint32_t>(end - cells.begin()));
    }
    return view;
}

void setRoute(routing_view &view, const std::string &key, const table_row &row)
{
    std::erase_if(view.routes, [&](const auto &route) { return "routes/" + route.name == key; });
    if (const auto *route = std::get_if<route_row>(&row)) {
        view.routes.push_back(*route);
        std::sort(view.routes.begin(), view.routes.end(), [](const auto &a, const auto &b) {
            return std::pair(b.prefix.size(), a.name) < std::pair(a.prefix.size(), b.name);
        });
    }
    view.reserved = findReservedRegions(view.routes);
}

void setPool(routing_view &view, const std::string &key, const table_row &row)
{
    if (const auto *pool = std::get_if<pool_row>(&row)) {
        view.pools[pool->name] = makePoolView(*pool);
    } else {
        view.pools.erase(pool_id{key.substr(std::string_view("pools/").size())});
    }
}

/** Begins or ends the drain of a failure domain. A row that is removed or not drained puts the domain in service. */
void setDomain(routing_view &view, const document &changed, const table_row &row)
{
    const domain_id domain{changed.key.substr(domainPrefix.size())};
    const auto *known = std::get_if<domain_row>(&row);
    if (known != nullptr && known->drained) {
        view.drained.keyedLimit = keyedLimitFor(domainDrainBound);
        beginDrain(view.drained, domain, changed.since);
    } else {
        endDrain(view.drained, domain);
    }
}

/** Checks whether a prefix of a path ends at a segment boundary. */
bool matchesPrefix(std::string_view path, std::string_view prefix)
{
    return path.starts_with(prefix)
        && (prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/'
            || path[prefix.size()] == '?');
}

std::string routeKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) { return std::tolower(c); });
    return key.append(" ").append(prefix);
}

/** Looks up the prefixes of a path that end with a slash, longest first. */
const route_row *findIndexed(const route_table &table, std::string_view host, std::string_view path)
{
    path = path.substr(0, path.find('?'));
    host = host.substr(0, host.find(':'));
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? end - 1 : path.rfind('/', end - 1)) {
        const auto found = table.byHostAndPrefix.find(routeKey(host, path.substr(0, end + 1)));
        if (found != table.byHostAndPrefix.end()) {
            return &table.rows.routes[found->second];
        }
    }
    return nullptr;
}

} // namespace

std::optional<routing_view> withDocument(const routing_view &old, const document &changed, last_reason &why)
{
    auto view = old;
    if (changed.key.starts_with(cellPrefix)) {
        const auto record = parseRecord(*changed.value, why);
        if (!record) {
            return std::nullopt;
        }
        view.cells[record->id] = makeCellView(*record, changed.revision);
        return view;
    }
    const auto row = parseRow(changed.key, *changed.value, why);
    if (!row || !checkRow(changed.key, *row, why)) {
        return std::nullopt;
    }
    if (changed.key.starts_with("routes/")) {
        setRoute(view, changed.key, *row);
    } else if (changed.key.starts_with("pools/")) {
        setPool(view, changed.key, *row);
    } else if (changed.key.starts_with(domainPrefix)) {
        setDomain(view, changed, *row);
    } else if (const auto *rules = std::get_if<rules_row>(&*row)) {
        view.rules = *rules;
    }
    view.tablesRevision = std::max(view.tablesRevision, changed.revision);
    return view;
}

std::shared_ptr<const route_table> makeRouteTable(tables_snapshot rows)
{
    auto table = std::make_shared<route_table>();
    table->rows = std::move(rows);
    for (std::uint32_t index = 0; index < table->rows.routes.size(); ++index) {
        const auto &route = table->rows.routes[index];
        table->byHostAndPrefix.emplace(routeKey(route.host, route.prefix), index);
    }
    table->reserved = findReservedRegions(table->rows.routes);
    return table;
}

const route_row *findRoute(const routing_view &view, std::string_view host, std::string_view path)
{
    if (view.table) {
        return findIndexed(*view.table, host, path);
    }
    const auto found = std::find_if(view.routes.begin(), view.routes.end(),
                                    [&](const auto &route) { return matchesPrefix(path, route.prefix); });
    return found == view.routes.end() ? nullptr : &*found;
}

bool hasRoutes(const routing_view &view, bool complete)
{
    return complete ? view.table != nullptr : !view.routes.empty();
}

std::uint64_t tablesVersion(const routing_view &view)
{
    return view.table ? view.table->rows.version : static_cast<std::uint64_t>(view.tablesRevision.value);
}

slot_number hashToSlot(std::string_view key, std::uint32_t slots)
{
    return {static_cast<std::uint32_t>(XXH3_64bits(key.data(), key.size()) % slots)};
}

std::optional<slot_number> findSlot(std::string_view key, const pool_row &pool)
{
    if (!pool.numeric) {
        return hashToSlot(key, pool.slots);
    }
    std::uint32_t number = 0;
    const auto [end, error] = std::from_chars(key.data(), key.data() + key.size(), number);
    if (error != std::errc() || end != key.data() + key.size() || number >= numericKeys) {
        return std::nullopt;
    }
    return slot_number{number / keysPerSlot};
}

std::optional<slot_owner> findOwner(const routing_view &view, const pool_id &pool, slot_number slot)
{
    const auto row = view.pools.find(pool);
    if (row == view.pools.end()) {
        return std::nullopt;
    }
    const auto &ends = row->second.homeEnds;
    const auto home = std::upper_bound(ends.begin(), ends.end(), slot.value) - ends.begin();
    if (static_cast<std::size_t>(home) >= ends.size()) {
        return std::nullopt;
    }
    const auto cell = view.cells.find(row->second.row.homes[static_cast<std::size_t>(home)].cell);
    if (cell == view.cells.end()) {
        return std::nullopt;
    }
    const auto range = cell->second->pools.find(pool);
    if (range == cell->second->pools.end() || slot.value < range->second.first
        || slot.value - range->second.first >= range->second.owners.size()) {
        return std::nullopt;
    }
    const auto &entry = range->second.owners[slot.value - range->second.first];
    if (entry.memberIndex < 0) {
        return std::nullopt;
    }
    return slot_owner{&cell->second->members[static_cast<std::size_t>(entry.memberIndex)], entry.fence,
                      cell->second->revision};
}

bool namesOtherOwner(const routing_view &view, const pool_id &pool, slot_number slot, fence_number tried)
{
    const auto owner = findOwner(view, pool, slot);
    return owner && owner->fence != tried;
}

std::vector<const cell_member *> membersOf(const routing_view &view, const pool_id &pool)
{
    std::vector<const cell_member *> members;
    for (const auto &entry : view.cells) {
        for (const auto &member : entry.second->members) {
            if (member.target.pool == pool) {
                members.push_back(&member);
            }
        }
    }
    return members;
}

const cell_member *chooseExternalVoter(const routing_view &view, const cell_id &cell, const region_id &region)
{
    const auto seed = XXH3_64bits(cell.value.data(), cell.value.size());
    const cell_member *best = nullptr;
    std::pair<bool, std::uint64_t> bestWeight;
    for (const auto &entry : view.cells) {
        const auto &voters = entry.second->voters;
        for (const auto &member : entry.second->members) {
            if (member.region == region || member.leaving) {
                continue;
            }
            const bool votes = std::find(voters.begin(), voters.end(), member.id) != voters.end();
            const std::pair weight(!votes, XXH3_64bits_withSeed(member.id.value.data(), member.id.value.size(), seed));
            if (best == nullptr || weight > bestWeight) {
                best = &member;
                bestWeight = weight;
            }
        }
    }
    return best;
}

bool coordinatorWatchesStore(const routing_view &view, const cell_id &cell, const region_id &region)
{
    std::size_t before = 0;
    for (const auto &[id, entry] : view.cells) {
        if (id == cell) {
            break;
        }
        before += !entry->members.empty() && entry->members.front().region == region ? 1 : 0;
    }
    return before < watchingCellsPerRegion;
}

std::map<pool_id, std::pair<std::vector<slot_number>, placement_rules>> plansOf(const routing_view &view,
                                                                                const cell_id &cell)
{
    std::map<pool_id, std::pair<std::vector<slot_number>, placement_rules>> plans;
    for (const auto &[name, pool] : view.pools) {
        for (std::size_t home = 0; home < pool.homeEnds.size(); ++home) {
            if (pool.row.homes[home].cell != cell) {
                continue;
            }
            auto &[slots, rules] = plans[name];
            for (auto slot = home == 0 ? 0 : pool.homeEnds[home - 1]; slot < pool.homeEnds[home]; ++slot) {
                slots.push_back({slot});
            }
            rules.goal = pool.row.weighsChurn ? placement_goal::churn : placement_goal::unavailable_time;
            rules.movesAtOnce = pool.row.movesAtOnce;
        }
    }
    return plans;
}

} // namespace quetzalspool
