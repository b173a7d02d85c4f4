/** @file keys.cpp Keys that the servers of a sharded service hold. */
#include "world.h"

#include <algorithm>

namespace review {

namespace {

bool contains(const key_row &row, std::uint32_t key)
{
    return row.from <= key && key <= row.to;
}

bool contain(const std::vector<key_row> &rows, std::uint32_t key)
{
    return std::any_of(rows.begin(), rows.end(), [key](const auto &row) { return contains(row, key); });
}

bool isAtWork(const app_server &server, const key_row &row)
{
    const auto &atWork = server.keys.atWork;
    return std::any_of(atWork.begin(), atWork.end(), [&](auto key) { return contains(row, key); });
}

/** Moves the rows on which it does not work any more to those that it has released. */
void releaseIdle(app_server &server)
{
    auto &keys = server.keys;
    std::erase_if(keys.releasing, [&](const auto &row) {
        const bool idle = !isAtWork(server, row);
        if (idle) {
            keys.freed.push_back(row);
        }
        return idle;
    });
}

/** Notes keys of a new row on which another server still works. */
void noteDoubleOwners(world &in, const app_server &server, const key_row &row)
{
    for (const auto &at : in.machines) {
        const auto &other = at->server;
        if (!other || other.get() == &server) {
            continue;
        }
        for (const auto key : other->keys.atWork) {
            if (contains(row, key) && worksOnKey(*other, key)) {
                ++in.doubleOwners;
                note(in,
                     {{"event", "key-given-while-at-work"},
                      {"key", key},
                      {"given_to", server.id},
                      {"fence", row.fence},
                      {"at_work_at", other->id}});
            }
        }
    }
}

json rowsJson(const std::vector<key_row> &rows)
{
    auto out = json::array();
    for (const auto &row : rows) {
        out.push_back({row.from, row.to, row.fence});
    }
    return out;
}

} // namespace

std::uint32_t keyOf(const request_message &request)
{
    const auto text = request["X-Shard-Key"];
    return text.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(std::string(text.data(), text.size())));
}

bool holdsKey(const app_server &server, std::uint32_t key)
{
    return clock::now() < server.keys.until && contain(server.keys.rows, key);
}

bool worksOnKey(const app_server &server, std::uint32_t key)
{
    const auto &keys = server.keys;
    const bool atWork = std::find(keys.atWork.begin(), keys.atWork.end(), key) != keys.atWork.end();
    return atWork && clock::now() < keys.until && (contain(keys.rows, key) || contain(keys.releasing, key));
}

void addKeys(app_server &server, json &heartbeat)
{
    auto &keys = server.keys;
    if (clock::now() >= keys.until) {
        keys.rows.clear(); // An expired lease is not reported as freed.
        keys.releasing.clear();
    }
    releaseIdle(server);
    auto held = rowsJson(keys.rows);
    for (const auto &row : rowsJson(keys.releasing)) {
        held.push_back(row);
    }
    heartbeat["holds"] = held;
    auto freed = json::array();
    for (const auto &row : keys.freed) {
        freed.push_back({row.from, row.to, "handover-" + server.id});
    }
    heartbeat["freed"] = freed;
}

void applyKeys(world &in, app_server &server, const json &answer, clock::time_point sentAt)
{
    auto &keys = server.keys;
    keys.freed.clear();
    if (!answer.contains("holds")) {
        return;
    }
    std::vector<key_row> rows;
    for (const auto &row : answer.at("holds")) {
        rows.push_back({row.at(0), row.at(1), row.at(2)});
    }
    for (const auto &held : keys.rows) {
        const bool kept = std::any_of(rows.begin(), rows.end(), [&](const auto &row) {
            return row.from <= held.from && held.to <= row.to && row.fence == held.fence;
        });
        if (!kept) {
            keys.releasing.push_back(held);
        }
    }
    for (const auto &row : rows) {
        noteDoubleOwners(in, server, row);
    }
    keys.rows = std::move(rows);
    if (!keys.rows.empty()) {
        const auto text = answer.at("hold_time").get<std::string>();
        keys.until = sentAt + milliseconds(std::stoll(text));
    }
}

} // namespace review
