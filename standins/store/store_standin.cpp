/** @file store_standin.cpp Implements range, txn with MOD compares, and watch. */
#include "store_standin.h"

#include "elapsed_clock.h"
#include "store_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

constexpr milliseconds outageHoldTime{5000}; ///< Delay before the response 503 while the store is down.
constexpr std::size_t maxEvents = 100000; ///< Changes kept for watches that start at an earlier revision.

json makeHeader(const store_standin &store)
{
    return {{"revision", std::to_string(store.revision)}};
}

json readRange(const store_standin &store, const json &body)
{
    const auto first = fromBase64(body.value("key", ""));
    const auto last = body.contains("range_end") ? fromBase64(body.value("range_end", "")) : first + '\0';
    auto kvs = json::array();
    for (auto at = store.values.lower_bound(first); at != store.values.end() && at->first < last; ++at) {
        kvs.push_back(valueToJson(at->second));
    }
    return kvs;
}

bool revisionMatches(const store_standin &store, const json &compare)
{
    const auto key = fromBase64(compare.value("key", ""));
    const auto found = store.values.find(key);
    const auto actual = found == store.values.end() ? 0 : found->second.revision.value;
    return actual == numberFromJson(compare, "mod_revision");
}

void put(store_standin &store, const json &request)
{
    const auto key = fromBase64(request.value("key", ""));
    const stored_value value{key, fromBase64(request.value("value", "")), {store.revision}};
    store.values[key] = value;
    store.events.push_back({store.revision, {value, false}});
    if (store.events.size() > maxEvents) {
        store.events.pop_front();
    }
}

json commitTxn(store_standin &store, const json &body)
{
    const auto compares = body.value("compare", json::array());
    const bool succeeded =
        std::all_of(compares.begin(), compares.end(), [&](const auto &row) { return revisionMatches(store, row); });
    auto responses = json::array();
    const auto operations = body.value(succeeded ? "success" : "failure", json::array());
    const bool writes =
        std::any_of(operations.begin(), operations.end(), [](const auto &row) { return row.contains("request_put"); });
    store.revision += writes ? 1 : 0;
    for (const auto &operation : operations) {
        if (operation.contains("request_put")) {
            put(store, operation["request_put"]);
            responses.push_back({{"response_put", {{"header", makeHeader(store)}}}});
        } else {
            responses.push_back({{"response_range", {{"kvs", readRange(store, operation["request_range"])}}}});
        }
    }
    store.changed->notifyAll();
    return {{"header", makeHeader(store)}, {"succeeded", succeeded}, {"responses", responses}};
}

bool exceedsWriteLimit(store_standin &store)
{
    const auto now = elapsed_clock::now();
    if (now - store.writeWindowStart >= std::chrono::seconds(1)) {
        store.writeWindowStart = now;
        store.writesInWindow = 0;
    }
    ++store.writesInWindow;
    return store.faults.writesPerSecond > 0 && store.writesInWindow > store.faults.writesPerSecond;
}

http_response unavailableResponse()
{
    return jsonResponse(503, R"({"error":"unavailable"})");
}

http_response handleControlRequest(store_standin &store, const http_request &request)
{
    if (request.path == "/standin/counts") {
        return jsonResponse(200,
                            json{{"reads", store.counters.reads},
                                 {"writes", store.counters.writes},
                                 {"watches", store.counters.watches},
                                 {"waiting", store.counters.openWatches},
                                 {"bytes", store.counters.bytes},
                                 {"revision", store.revision}}
                                .dump());
    }
    if (request.path == "/standin/restore") {
        // Simulates a restored backup: values after the revision are gone, and the revision continues from there.
        store.revision = json::parse(request.body.text(), nullptr, false).value("revision", std::int64_t(1));
        std::erase_if(store.values, [&](const auto &entry) { return entry.second.revision.value > store.revision; });
        store.events.clear();
        store.changed->notifyAll();
    } else {
        const auto body = json::parse(request.body.text(), nullptr, false);
        store.faults.down = body.value("down", store.faults.down);
        store.faults.delay = milliseconds(body.value("delay_ms", store.faults.delay.count()));
        store.faults.dropResponses = body.value("lose_answers", store.faults.dropResponses);
        store.faults.writesPerSecond = body.value("writes_per_second", store.faults.writesPerSecond);
        store.changed->notifyAll();
    }
    return jsonResponse(200, "{}");
}

asio::awaitable<http_response> handleRequest(std::shared_ptr<store_standin> store, http_request request)
{
    if (request.path.starts_with("/standin/")) {
        co_return handleControlRequest(*store, request);
    }
    if (store->faults.down) {
        co_await sleepFor(outageHoldTime);
        co_return unavailableResponse();
    }
    co_await sleepFor(store->faults.delay);
    const auto body = json::parse(request.body.text(), nullptr, false);
    store->counters.bytes += request.body.size();
    json response;
    if (request.path == "/v3/kv/range") {
        ++store->counters.reads;
        response = {{"header", makeHeader(*store)}, {"kvs", readRange(*store, body)}};
    } else if (request.path == "/v3/kv/txn") {
        ++store->counters.writes;
        if (exceedsWriteLimit(*store)) {
            co_return unavailableResponse();
        }
        response = commitTxn(*store, body);
        if (store->faults.dropResponses > 0) {
            --store->faults.dropResponses;
            co_return unavailableResponse();
        }
    } else {
        co_return jsonResponse(404, R"({"error":"not found"})");
    }
    auto text = response.dump();
    store->counters.bytes += text.size();
    co_return jsonResponse(200, std::move(text));
}

/** Streams changes from the requested revision on, until the connection breaks or the store goes down. */
asio::awaitable<bool> handleWatch(std::shared_ptr<store_standin> store, const http_request &request, chunk_writer write)
{
    if (request.path != "/v3/watch" || store->faults.down) {
        co_return false;
    }
    const auto body = json::parse(request.body.text(), nullptr, false);
    const auto create = body.value("create_request", json::object());
    const auto first = fromBase64(create.value("key", ""));
    const auto last = fromBase64(create.value("range_end", ""));
    auto next = numberFromJson(create, "start_revision");
    ++store->counters.watches;
    ++store->counters.openWatches;
    json created{{"result", {{"header", makeHeader(*store)}, {"created", true}}}};
    bool succeeded = co_await write(created.dump() + "\n");
    while (succeeded && !store->faults.down) {
        auto events = json::array();
        for (const auto &[revision, event] : store->events) {
            if (revision >= next && event.value.key >= first && event.value.key < last) {
                events.push_back({{"kv", valueToJson(event.value)}});
            }
        }
        next = store->revision + 1;
        const json line{{"result", {{"header", makeHeader(*store)}, {"events", events}}}};
        const auto text = line.dump() + "\n";
        store->counters.bytes += text.size();
        succeeded = co_await write(text);
        if (succeeded) {
            co_await store->changed->waitUntil(elapsed_clock::now() + std::chrono::seconds(2));
        }
    }
    --store->counters.openWatches;
    co_return true;
}

} // namespace

asio::awaitable<void> serveStore(std::shared_ptr<store_standin> store, std::shared_ptr<tcp::acceptor> acceptor)
{
    store->changed = std::make_shared<async_condition>(acceptor->get_executor());
    http_handler handler = [store](http_request request) { return handleRequest(store, std::move(request)); };
    http_server_options options;
    options.streamHandler = [store](const http_request &request, chunk_writer write) {
        return handleWatch(store, request, std::move(write));
    };
    co_await serveHttp(acceptor, handler, options);
}

} // namespace quetzalspool
