/** @file store.cpp Client of the store's HTTP/JSON gateway. */
#include "store_func.h"

#include "store_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

constexpr milliseconds watchIdleLimit{24 * 3600 * 1000}; ///< Watches without changes are closed after this time.

/** Posts a JSON body and parses the JSON response. */
asio::awaitable<std::optional<json>> call(store_client &store, std::string path, json body, last_reason &why)
{
    ++store.calls;
    http_request request{"POST", std::move(path), {{"Content-Type", "application/json"}}, body.dump()};
    const auto httpResponse = co_await sendRequest(store.pool, store.at, std::move(request), store.timeout, why);
    if (!httpResponse) {
        co_return std::nullopt;
    }
    auto response = json::parse(httpResponse->body, nullptr, false);
    if (httpResponse->status != 200 || response.is_discarded() || !response.contains("header")) {
        co_return failed(why, "call the store", toString(store.at), "status " + std::to_string(httpResponse->status));
    }
    co_return response;
}

/** Records the store's revision. Refuses a revision lower than before: the store was restored from an older backup. */
bool acceptRevision(store_client &store, revision_number revision, revision_number minRevision, last_reason &why)
{
    if (revision < minRevision) {
        store.restored = true;
        failed(why, "read the store's revision", toString(store.at),
               "revision " + std::to_string(revision.value) + " after " + std::to_string(minRevision.value)
                   + ": the store was restored from an older backup; its responses are refused");
        return false;
    }
    store.restored = false;
    store.highest = std::max(store.highest, revision);
    return true;
}

json putToJson(const txn_put &put)
{
    return {{"request_put", {{"key", toBase64(put.key)}, {"value", toBase64(put.value)}}}};
}

json compareToJson(const txn_compare &compare)
{
    return {{"key", toBase64(compare.key)},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"mod_revision", std::to_string(compare.revision.value)}};
}

std::vector<watch_event> eventsFromJson(const json &result)
{
    std::vector<watch_event> events;
    for (const auto &event : result.value("events", json::array())) {
        events.push_back({valueFromJson(event.value("kv", json::object())), event.value("type", "PUT") == "DELETE"});
    }
    return events;
}

/** State of a watch between the parts of its response. */
struct watch_stream
{
    std::string pending; ///< Bytes of an incomplete line.
    std::int64_t revision = 0; ///< Revision of the last complete line.
};

/**
 * Processes the complete lines of a watch, each a JSON object, and keeps an incomplete one. Returns false to end the
 * watch: on errors, if the callback ends it, and if the revision decreases because the store was restored from an older
 * backup.
 */
bool processLines(watch_stream &stream, const std::function<bool(std::vector<watch_event>)> &onEvents)
{
    auto &pending = stream.pending;
    for (auto end = pending.find('\n'); end != std::string::npos; end = pending.find('\n')) {
        const auto line = json::parse(pending.substr(0, end), nullptr, false);
        pending.erase(0, end + 1);
        if (line.is_discarded() || line.contains("error")) {
            return false;
        }
        const auto result = line.value("result", json::object());
        const auto revision = numberFromJson(result.value("header", json::object()), "revision");
        if (revision < stream.revision) {
            return false;
        }
        stream.revision = revision;
        auto events = eventsFromJson(result);
        if (!events.empty() && !onEvents(std::move(events))) {
            return false;
        }
    }
    return true;
}

} // namespace

store_client makeStoreClient(endpoint at, byte_counter sent)
{
    store_client store;
    store.at = std::move(at);
    store.pool = makeHttpConnectionPool(sent);
    store.sent = std::move(sent);
    return store;
}

asio::awaitable<std::optional<range_result>> readRange(store_client &store, std::string prefix, bool single,
                                                       last_reason &why)
{
    const auto minRevision = store.highest;
    json body{{"key", toBase64(prefix)}};
    if (!single) {
        body["range_end"] = toBase64(prefixEnd(prefix));
    }
    const auto response = co_await call(store, "/v3/kv/range", std::move(body), why);
    if (!response) {
        co_return std::nullopt;
    }
    range_result result;
    result.revision.value = numberFromJson(response->at("header"), "revision");
    if (!acceptRevision(store, result.revision, minRevision, why)) {
        co_return std::nullopt;
    }
    for (const auto &kv : response->value("kvs", json::array())) {
        result.values.push_back(valueFromJson(kv));
    }
    co_return result;
}

asio::awaitable<std::optional<txn_result>> commit(store_client &store, txn_request request, last_reason &why)
{
    const auto minRevision = store.highest;
    json body{{"compare", json::array()}, {"success", json::array()}, {"failure", json::array()}};
    for (const auto &compare : request.compares) {
        body["compare"].push_back(compareToJson(compare));
        body["failure"].push_back({{"request_range", {{"key", toBase64(compare.key)}}}});
    }
    for (const auto &put : request.puts) {
        body["success"].push_back(putToJson(put));
    }
    const auto response = co_await call(store, "/v3/kv/txn", std::move(body), why);
    if (!response) {
        co_return std::nullopt;
    }
    txn_result result;
    result.succeeded = response->value("succeeded", false);
    result.revision.value = numberFromJson(response->at("header"), "revision");
    if (!acceptRevision(store, result.revision, minRevision, why)) {
        co_return std::nullopt;
    }
    for (const auto &operation : response->value("responses", json::array())) {
        const auto range = operation.find("response_range");
        if (range != operation.end()) {
            for (const auto &kv : range->value("kvs", json::array())) {
                result.current.push_back(valueFromJson(kv));
            }
        }
    }
    co_return result;
}

asio::awaitable<void> watchPrefix(store_client &store, std::string prefix, revision_number from,
                                  std::function<bool(std::vector<watch_event>)> onEvents, last_reason &why)
{
    ++store.calls;
    json body{{"create_request",
               {{"key", toBase64(prefix)},
                {"range_end", toBase64(prefixEnd(prefix))},
                {"start_revision", std::to_string(from.value)}}}};
    http_request request{"POST", "/v3/watch", {{"Content-Type", "application/json"}}, body.dump()};
    auto stream = std::make_shared<watch_stream>();
    std::function<bool(std::string_view)> onData = [stream, onEvents](std::string_view part) {
        stream->pending.append(part);
        return processLines(*stream, onEvents);
    };
    co_await streamResponse(store.at, std::move(request), watchIdleLimit, onData, why, store.sent);
}

} // namespace quetzalspool
