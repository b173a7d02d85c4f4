/** @file store.cpp The platform's metadata store: items, leases, watches and conditional changes. */
#include "store.h"

namespace review {

namespace {

constexpr milliseconds answerTime{4}; ///< As in the sheets of the deployments.
constexpr milliseconds watchCheckInterval{5}; ///< Interval of the checks for changes while a watch waits.

std::string parameter(const std::string &target, const std::string &name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos) {
        return "";
    }
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

std::string toBase64(const std::string &text)
{
    static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t bits = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            bits = bits << 8U | (at + byte < text.size() ? static_cast<unsigned char>(text[at + byte]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            out += at + digit > text.size() ? '=' : letters[bits >> (18 - 6 * digit) & 63U];
        }
    }
    return out;
}

milliseconds parseTime(const std::string &text)
{
    const auto number = std::stod(text);
    return milliseconds(static_cast<std::int64_t>(text.ends_with("ms") ? number : number * 1000));
}

json itemJson(const store_state &store, const std::string &key)
{
    const auto &item = store.items.at(key);
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created_at", item.revision},
            {"lease", item.lease}};
}

response_message answer(unsigned status, const json &body)
{
    response_message out{http::int_to_status(status), 11};
    out.set(http::field::content_type, "application/json");
    out.body() = body.dump();
    out.prepare_payload();
    return out;
}

void removeItem(store_state &store, const std::string &key)
{
    store.items.erase(key);
    store.events.push_back({{"key", key}, {"revision", store.revision}, {"deleted", true}});
}

void endLease(store_state &store, std::int64_t lease)
{
    ++store.revision;
    std::vector<std::string> keys;
    for (const auto &[key, item] : store.items) {
        if (item.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const auto &key : keys) {
        removeItem(store, key);
    }
    store.leases.erase(lease);
}

void expireLeases(store_state &store)
{
    std::vector<std::int64_t> ended;
    for (const auto &[lease, state] : store.leases) {
        if (clock::now() >= state.second) {
            ended.push_back(lease);
        }
    }
    for (const auto lease : ended) {
        endLease(store, lease);
    }
}

response_message commit(store_state &store, const json &body)
{
    for (const auto &row : body.at("expected")) {
        const auto found = store.items.find(row.at("key").get<std::string>());
        const auto revision = found == store.items.end() ? 0 : found->second.revision;
        if (revision != row.at("revision").get<std::int64_t>()) {
            auto current = json::array();
            for (const auto &expected : body.at("expected")) {
                const auto key = expected.at("key").get<std::string>();
                if (store.items.contains(key)) {
                    current.push_back(itemJson(store, key));
                }
            }
            return answer(412, {{"items", current}});
        }
    }
    for (const auto &row : body.at("puts")) {
        const auto lease = row.value("lease", std::int64_t{0});
        if (lease != 0 && !store.leases.contains(lease)) {
            return answer(404, json::object());
        }
    }
    ++store.revision;
    for (const auto &row : body.at("puts")) {
        const auto key = row.at("key").get<std::string>();
        store.items[key] = {row.at("value"), store.revision, row.value("lease", std::int64_t{0})};
        store.events.push_back(itemJson(store, key));
    }
    for (const auto &key : body.value("remove", json::array())) {
        removeItem(store, key.get<std::string>());
    }
    return answer(200, {{"revision", store.revision}});
}

response_message readItem(const store_state &store, const std::string &key)
{
    const bool exists = store.items.contains(key);
    auto body = exists ? itemJson(store, key) : json::object();
    body["store_revision"] = store.revision;
    return answer(exists ? 200 : 404, body);
}

response_message listItems(const store_state &store, const std::string &prefix)
{
    json body{{"items", json::array()}, {"truncated", false}, {"store_revision", store.revision}};
    for (const auto &[key, item] : store.items) {
        if (key.starts_with(prefix)) {
            body["items"].push_back(itemJson(store, key));
        }
    }
    return answer(200, body);
}

response_message openLease(store_state &store, const json &body)
{
    const auto ttl = parseTime(body.at("ttl_time"));
    const auto lease = ++store.revision;
    store.leases[lease] = {ttl, clock::now() + ttl};
    return answer(200, {{"lease", lease}, {"ttl_time", std::to_string(ttl.count()) + "ms"}});
}

response_message renewLease(store_state &store, std::int64_t lease)
{
    const auto found = store.leases.find(lease);
    if (found == store.leases.end()) {
        return answer(404, json::object());
    }
    found->second.second = clock::now() + found->second.first;
    return answer(200, {{"ttl_time", std::to_string(found->second.first.count()) + "ms"}});
}

asio::awaitable<response_message> watchItems(store_state &store, const std::string &target)
{
    const auto prefix = parameter(target, "path_prefix");
    const auto after = std::stoll("0" + parameter(target, "after"));
    const auto until = clock::now() + milliseconds(std::stoll("0" + parameter(target, "wait_ms")));
    for (;;) {
        expireLeases(store);
        if (store.busy) {
            co_return answer(503, json::object());
        }
        if (after > store.revision) {
            co_return answer(410, json::object());
        }
        json body{{"events", json::array()}, {"store_revision", store.revision}};
        for (const auto &event : store.events) {
            if (event.at("revision") > after && event.at("key").get<std::string>().starts_with(prefix)) {
                body["events"].push_back(event);
            }
        }
        if (!body["events"].empty() || clock::now() >= until) {
            co_return answer(200, body);
        }
        co_await sleepFor(watchCheckInterval);
    }
}

asio::awaitable<response_message> handleCall(store_state &store, request_message request)
{
    const std::string target(request.target());
    co_await sleepFor(answerTime);
    if (store.busy) {
        co_return answer(503, json::object());
    }
    expireLeases(store);
    if (target.starts_with("/api/kv-watch")) {
        co_return co_await watchItems(store, target);
    }
    if (target.starts_with("/api/kv-key")) {
        co_return readItem(store, parameter(target, "key"));
    }
    if (target.starts_with("/api/kv-range")) {
        co_return listItems(store, parameter(target, "path_prefix"));
    }
    if (target == "/api/kv-txn") {
        co_return commit(store, json::parse(request.body()));
    }
    if (target == "/api/kv-lease") {
        co_return openLease(store, json::parse(request.body()));
    }
    if (target.starts_with("/api/kv-keep/")) {
        co_return renewLease(store, std::stoll(target.substr(target.rfind('/') + 1)));
    }
    co_return answer(404, json::object());
}

asio::awaitable<void> serveCalls(store_state &store, tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    error_code code;
    stream.socket().set_option(tcp::no_delay(true), code);
    for (;;) {
        request_message request;
        co_await http::async_read(stream, buffer, request, asio::redirect_error(asio::use_awaitable, code));
        if (code) {
            co_return;
        }
        auto response = co_await handleCall(store, std::move(request));
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, code));
    }
}

asio::awaitable<void> acceptCalls(store_state &store, std::shared_ptr<tcp::acceptor> acceptor)
{
    for (;;) {
        error_code code;
        auto socket = co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, code));
        if (!code) {
            asio::co_spawn(acceptor->get_executor(), serveCalls(store, std::move(socket)), asio::detached);
        }
    }
}

} // namespace

void startStore(world &in)
{
    const tcp::endpoint at(asio::ip::address_v4::loopback(), 0);
    const auto acceptor = std::make_shared<tcp::acceptor>(in.context, at);
    in.store.port = acceptor->local_endpoint().port();
    asio::co_spawn(in.context, acceptCalls(in.store, acceptor), asio::detached);
}

void putItem(world &in, const std::string &key, const std::string &value)
{
    auto &store = in.store;
    store.items[key] = {toBase64(value), ++store.revision, 0};
    store.events.push_back(itemJson(store, key));
}

} // namespace review
