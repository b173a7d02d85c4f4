/** @file world.cpp Store, servers, clients and processes of a small deployment on loopback. */
#include "world.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iomanip>
#include <regex>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace review {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using quetzalspool::findHeader;
using quetzalspool::jsonResponse;
using quetzalspool::last_reason;
using quetzalspool::sleepFor;

constexpr milliseconds heartbeatInterval{1500}; ///< As in the settings of the pages.
constexpr milliseconds releaseInterval{100}; ///< Heartbeats while keys are given back.
constexpr std::uint32_t blockKeys = 16; ///< Keys whose highest fencing token is kept together.
constexpr milliseconds copyInterval{250}; ///< Between two copies of the store.
constexpr std::size_t mostCopies = 60; ///< Copies that are kept.
constexpr std::size_t largestAnswer = 4096; ///< A longer answer to a heartbeat acknowledges nothing.
/** Bytes after a complete answer: they name no request and bear no signature. */
constexpr int firstPort = 12000; ///< First port of the first range.
constexpr int portRanges = 250; ///< Number of ranges.
constexpr int portsInRange = 80; ///< Ports of a range.
const std::string extraBytes = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nspoiled";
constexpr std::uint64_t bodyLimit = 128ULL * 1024 * 1024; ///< Most bytes of a request at a server.

std::string parameterOf(const std::string &path, const std::string &name)
{
    const auto at = path.find(name + "=");
    if (at == std::string::npos) {
        return "";
    }
    const auto from = at + name.size() + 1;
    return path.substr(from, path.find('&', from) - from);
}

std::string encodeBase64(const std::string &text)
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

/** Fills in the settings template, with the part of its syntax that it uses. */
std::string fillTemplate(const std::string &text, const json &fields)
{
    static const std::regex place(R"(\{\{([a-z_.0-9]+)(\|json)?\}\})");
    std::string out;
    auto from = text.cbegin();
    std::smatch found;
    while (std::regex_search(from, text.cend(), found, place)) {
        out.append(from, found[0].first);
        auto path = "/" + found[1].str();
        std::replace(path.begin(), path.end(), '.', '/');
        const auto &value = fields.at(json::json_pointer(path));
        out += found[2].matched || !value.is_string() ? value.dump() : value.get<std::string>();
        from = found[0].second;
    }
    return out.append(from, text.cend());
}

std::string readFile(const std::filesystem::path &file)
{
    std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::uint32_t keyOf(const http_request &request)
{
    return static_cast<std::uint32_t>(std::strtoul(findHeader(request.headers, "X-Shard-Key").c_str(), nullptr, 10));
}

bool holdsKey(const server &at, std::uint32_t key, clock::time_point now)
{
    return now < at.holdsUntil && std::any_of(at.holds.begin(), at.holds.end(), [&](const auto &row) {
               return row.from <= key && key <= row.to;
           });
}

/** First key that two servers hold at a moment, if any. */
std::optional<std::uint32_t> sharedKey(const server &a, const server &b, clock::time_point now)
{
    if (now >= a.holdsUntil || now >= b.holdsUntil) {
        return std::nullopt;
    }
    for (const auto &mine : a.holds) {
        for (const auto &theirs : b.holds) {
            if (mine.from <= theirs.to && theirs.from <= mine.to) {
                return std::max(mine.from, theirs.from);
            }
        }
    }
    return std::nullopt;
}

} // namespace

world::world(std::filesystem::path out, std::filesystem::path sources)
    : folder(std::move(out))
    , repository(std::move(sources))
{
    std::filesystem::create_directories(folder);
    record.open(folder / "record.txt");
    storeAt = freePort();
    listen(storeAt, [this](http_request request) { return answerStore(std::move(request)); });
    asio::co_spawn(context, watchOverlaps(), asio::detached);
    asio::co_spawn(context, takeCopies(), asio::detached);
    thread = std::thread([this] {
        const auto untilStopped = asio::make_work_guard(context);
        context.run();
    });
}

world::~world()
{
    for (auto &at : machines) {
        if (at.daemon > 0) {
            signalDaemon(at, SIGKILL);
        }
    }
    context.stop();
    thread.join();
}

void world::listen(const endpoint &at, quetzalspool::http_handler handler)
{
    last_reason why;
    auto acceptor = quetzalspool::listenOn(context, at, why);
    if (!acceptor) {
        throw std::runtime_error(describe(why));
    }
    quetzalspool::http_server_options options;
    options.bodyLimit = bodyLimit;
    asio::co_spawn(
        context,
        quetzalspool::serveHttp(std::make_shared<tcp::acceptor>(std::move(*acceptor)), std::move(handler), options),
        asio::detached);
}

endpoint world::freePort()
{
    // Below the ports that the system gives to outgoing connections, and elsewhere for each process.
    if (nextPort == 0) {
        nextPort = static_cast<std::uint16_t>(firstPort + getpid() % portRanges * portsInRange);
    }
    for (;;) {
        const auto port = nextPort++;
        boost::system::error_code code;
        tcp::acceptor probe(ports);
        probe.open(tcp::v4(), code);
        probe.bind(tcp::endpoint(asio::ip::address_v4::loopback(), port), code);
        if (!code) {
            return {"127.0.0.1", port};
        }
    }
}

machine &world::addMachine(const std::string &service, bool keyed)
{
    auto &at = machines.emplace_back();
    at.name = "n" + std::to_string(machines.size() - 1);
    at.zone = machines.size() % 2 == 0 ? "z1" : "z2";
    at.service = service;
    at.keyed = keyed;
    for (auto *address : {&at.peers, &at.admin, &at.outbound, &at.ready, &at.control, &at.app}) {
        *address = freePort();
    }
    return at;
}

void world::startDaemon(machine &at)
{
    const json fields{
        {"node_name", at.name},
        {"region", "r"},
        {"zone", at.zone},
        {"ip", "127.0.0.1"},
        {"internal_ports", {at.peers.port, at.admin.port}},
        {"listen",
         {{"outbound", toString(at.outbound)}, {"ready", toString(at.ready)}, {"control", toString(at.control)}}},
        {"app_addr", toString(at.app)},
        {"service", at.service},
        {"bounds", {{"contact", "3000ms"}, {"drain", "2000ms"}, {"hold_max", "10000ms"}}},
        {"platform", {{"address", toString(storeAt)}, {"reads_per_s", 2000}}}};
    const auto file = (folder / (at.name + ".toml")).string();
    std::ofstream(file) << fillTemplate(readFile(repository / "deploy/settings.toml.in"), fields);
    const auto program = (repository / "target/apps/quetzalspoold").string();
    std::vector<std::string> words{program, "--settings", file};
    std::vector<char *> arguments;
    for (auto &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const auto log = (folder / (at.name + ".log")).string();
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    if (posix_spawn(&at.daemon, program.c_str(), &actions, nullptr, arguments.data(), environ) != 0) {
        throw std::runtime_error("the daemon could not be started");
    }
    posix_spawn_file_actions_destroy(&actions);
    std::ofstream(folder / "pids", std::ios::app) << at.daemon << "\n";
    note("daemon " + at.name + " started");
}

void world::signalDaemon(machine &at, int signal)
{
    kill(at.daemon, signal);
    note("daemon " + at.name + " got signal " + std::to_string(signal));
    if (signal == SIGKILL) {
        waitpid(at.daemon, nullptr, 0);
        at.daemon = 0;
    }
}

void world::stopDaemon(machine &at)
{
    signalDaemon(at, SIGTERM);
    waitpid(at.daemon, nullptr, 0);
    note("daemon " + at.name + " has stopped");
    at.daemon = 0;
}

server &world::startServer(machine &at)
{
    auto made = std::make_shared<server>();
    made->at = &at;
    made->born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    made->id = "i-" + at.name;
    launch(made);
    return *made;
}

void world::launch(const std::shared_ptr<server> &made)
{
    {
        const std::lock_guard lock(mutex);
        servers.push_back(made);
    }
    asio::post(context, [this, made] {
        last_reason why;
        auto acceptor = quetzalspool::listenOn(context, made->at->app, why);
        if (!acceptor) {
            note(describe(why));
            return;
        }
        made->acceptor = std::make_shared<tcp::acceptor>(std::move(*acceptor));
        asio::co_spawn(context, acceptConnections(made), asio::detached);
        asio::co_spawn(context, beat(made), asio::detached);
    });
}

asio::awaitable<void> world::acceptConnections(std::shared_ptr<server> at)
{
    const auto acceptor = at->acceptor;
    while (acceptor->is_open()) {
        boost::system::error_code code;
        auto socket = co_await acceptor->async_accept(quetzalspool::redirectError(code));
        if (!code) {
            auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
            at->connections.insert(stream);
            asio::co_spawn(context, serveConnection(at, stream), asio::detached);
        }
    }
}

asio::awaitable<void> world::serveConnection(std::shared_ptr<server> at, std::shared_ptr<beast::tcp_stream> stream)
{
    beast::flat_buffer buffer;
    boost::system::error_code code;
    stream->socket().set_option(tcp::no_delay(true), code);
    bool extra = false; // Whether additional bytes follow the last answer, late.
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(bodyLimit);
        co_await http::async_read(*stream, buffer, parser, quetzalspool::redirectError(code));
        if (code) {
            break;
        }
        const auto message = parser.release();
        if (extra) {
            const std::lock_guard lock(mutex);
            ++extraCount;
        }
        if (std::exchange(extra, false)) {
            co_await asio::async_write(*stream, asio::buffer(extraBytes), quetzalspool::redirectError(code));
        }
        http_request request{std::string(message.method_string()), std::string(message.target()), {}, message.body()};
        for (const auto &row : message) {
            request.headers.emplace_back(std::string(row.name_string()), std::string(row.value()));
        }
        const auto answer = co_await answerRequest(at, std::move(request));
        http::response<http::string_body> out{http::int_to_status(answer.status), 11};
        out.keep_alive(true);
        for (const auto &[name, value] : answer.headers) {
            out.insert(name, value);
        }
        out.body() = answer.body;
        out.prepare_payload();
        co_await http::async_write(*stream, out, quetzalspool::redirectError(code));
        if (code) {
            break;
        }
        extra = owesExtraBytes(*at);
    }
    at->connections.erase(stream);
    stream->close();
}

bool world::owesExtraBytes(const server &at)
{
    const std::lock_guard lock(mutex);
    return extraAt.contains(at.id) && ++answers % static_cast<std::size_t>(extraEvery) == 0;
}

void world::setExtraBytes(std::set<std::string> serverIds, int everyNth)
{
    const std::lock_guard lock(mutex);
    extraAt = std::move(serverIds);
    extraEvery = everyNth;
}

std::size_t world::extraSent()
{
    const std::lock_guard lock(mutex);
    return extraCount;
}

void world::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex);
    store.items[key] = {encodeBase64(value), ++store.revision, 0};
    store.events.push_back(itemJson(key));
    operatorWrites.push_back({clock::now(), key, value});
    note("operator wrote " + key + " at revision " + std::to_string(store.revision));
}

asio::awaitable<void> world::takeCopies()
{
    for (;;) {
        {
            const std::lock_guard lock(mutex);
            copies.emplace_back(clock::now(), store);
            if (copies.size() > mostCopies) {
                copies.pop_front();
            }
        }
        co_await sleepFor(copyInterval);
    }
}

void world::comeBackFromCopy(milliseconds away, milliseconds age)
{
    const auto lostAt = clock::now();
    {
        const std::lock_guard lock(mutex);
        note("the store goes away at revision " + std::to_string(store.revision));
        storeAway = true;
    }
    std::this_thread::sleep_for(away);
    std::vector<operator_write> again;
    {
        const std::lock_guard lock(mutex);
        const auto copy = std::find_if(copies.rbegin(), copies.rend(),
                                       [&](const auto &taken) { return taken.first <= lostAt - age; });
        if (copy == copies.rend()) {
            throw std::runtime_error("no copy is as old");
        }
        store = copy->second;
        for (auto &[id, lease] : store.leases) {
            lease.until = clock::now() + lease.ttl;
        }
        ++era;
        for (const auto &write : operatorWrites) {
            if (write.at > copy->first) {
                again.push_back(write);
            }
        }
        note("the store is back at revision " + std::to_string(store.revision) + ", era " + std::to_string(era));
    }
    for (const auto &write : again) {
        put(write.key, write.value);
    }
    const std::lock_guard lock(mutex);
    storeAway = false;
}

json world::itemJson(const std::string &key) const
{
    const auto &item = store.items.at(key);
    return {{"key", key}, {"value", item.value}, {"revision", item.revision}, {"created_at", 1}, {"lease", item.lease}};
}

void world::expireLeases()
{
    for (auto lease = store.leases.begin(); lease != store.leases.end();) {
        if (clock::now() < lease->second.until) {
            ++lease;
            continue;
        }
        for (auto item = store.items.begin(); item != store.items.end();) {
            if (item->second.lease != lease->first) {
                ++item;
                continue;
            }
            store.events.push_back({{"key", item->first}, {"revision", ++store.revision}, {"deleted", true}});
            item = store.items.erase(item);
        }
        lease = store.leases.erase(lease);
    }
}

http_response world::commit(const json &body)
{
    for (const auto &row : body.at("expected")) {
        const auto found = store.items.find(row.at("key").get<std::string>());
        const auto at = found == store.items.end() ? 0 : found->second.revision;
        if (at != row.at("revision").get<std::int64_t>()) {
            auto current = json::array();
            for (const auto &expected : body.at("expected")) {
                const auto key = expected.at("key").get<std::string>();
                if (store.items.contains(key)) {
                    current.push_back(itemJson(key));
                }
            }
            return jsonResponse(412, json{{"items", current}}.dump());
        }
    }
    for (const auto &row : body.at("puts")) {
        const auto lease = row.value("lease", std::int64_t{0});
        if (lease != 0 && !store.leases.contains(lease)) {
            return jsonResponse(404, "{}");
        }
    }
    ++store.revision;
    for (const auto &row : body.at("puts")) {
        const auto key = row.at("key").get<std::string>();
        store.items[key] = {row.at("value"), store.revision, row.value("lease", std::int64_t{0})};
        store.events.push_back(itemJson(key));
    }
    for (const auto &row : body.at("remove")) {
        const auto key = row.get<std::string>();
        if (store.items.erase(key) > 0) {
            store.events.push_back({{"key", key}, {"revision", store.revision}, {"deleted", true}});
        }
    }
    return jsonResponse(200, json{{"revision", store.revision}}.dump());
}

asio::awaitable<http_response> world::answerStore(http_request request)
{
    const auto &path = request.path;
    const auto prefix = parameterOf(path, "path_prefix");
    const bool watch = path.starts_with("/api/kv-watch");
    const auto until = clock::now() + milliseconds(watch ? std::stoll(parameterOf(path, "wait_ms")) : 0);
    const auto withEra = [this](http_response response) {
        response.headers.emplace_back("Store-Era", std::to_string(era));
        return response;
    };
    for (;;) {
        {
            const std::lock_guard lock(mutex);
            if (storeAway) {
                co_return withEra(jsonResponse(503, "{}"));
            }
            expireLeases();
            if (path.starts_with("/api/kv-key")) {
                const auto key = parameterOf(path, "key");
                auto answer = store.items.contains(key) ? itemJson(key) : json::object();
                answer["store_revision"] = store.revision;
                co_return withEra(jsonResponse(store.items.contains(key) ? 200 : 404, answer.dump()));
            }
            if (path.starts_with("/api/kv-range")) {
                json answer{{"items", json::array()}, {"truncated", false}, {"store_revision", store.revision}};
                for (const auto &[key, item] : store.items) {
                    if (key.starts_with(prefix)) {
                        answer["items"].push_back(itemJson(key));
                    }
                }
                co_return withEra(jsonResponse(200, answer.dump()));
            }
            if (path.starts_with("/api/kv-txn")) {
                co_return withEra(commit(json::parse(request.body)));
            }
            if (path == "/api/kv-lease") {
                const auto ttl = parseTime(json::parse(request.body).at("ttl_time").get<std::string>());
                const auto id = nextLease++;
                store.leases[id] = {ttl, clock::now() + ttl};
                const auto text = std::to_string(ttl.count()) + "ms";
                co_return withEra(jsonResponse(200, json{{"lease", id}, {"ttl_time", text}}.dump()));
            }
            if (path.starts_with("/api/kv-keep/")) {
                const auto lease = store.leases.find(std::stoll(path.substr(path.rfind('/') + 1)));
                if (lease == store.leases.end()) {
                    co_return withEra(jsonResponse(404, "{}"));
                }
                lease->second.until = clock::now() + lease->second.ttl;
                co_return withEra(jsonResponse(200, "{}"));
            }
            const auto after = std::stoll("0" + parameterOf(path, "after"));
            if (after > store.revision) {
                co_return withEra(jsonResponse(410, "{}"));
            }
            json answer{{"events", json::array()}, {"store_revision", store.revision}};
            for (const auto &event : store.events) {
                if (event.at("revision") > after && event.at("key").get<std::string>().starts_with(prefix)) {
                    answer["events"].push_back(event);
                }
            }
            if (!answer["events"].empty() || clock::now() >= until) {
                co_return withEra(jsonResponse(200, answer.dump()));
            }
        }
        co_await sleepFor(milliseconds(5));
    }
}

asio::awaitable<http_response> world::answerRequest(std::shared_ptr<server> at, http_request request)
{
    const auto id = findHeader(request.headers, "X-Request-Id");
    std::vector<http_header> headers{{"X-Request-Id", id}};
    {
        const std::lock_guard lock(mutex);
        if (at->leaving) {
            headers.emplace_back("Server-Leaving", "1");
        }
        const auto expected = findHeader(request.headers, "X-Expected-Instance");
        if (!expected.empty() && expected != at->id) {
            headers.emplace_back("X-Instance-Id", at->id);
            co_return http_response{421, headers, ""};
        }
        if (at->at->keyed && !holdsKey(*at, keyOf(request), clock::now())) {
            headers.emplace_back("X-Not-Executed", "1");
            co_return http_response{421, headers, ""};
        }
        const run begun{clock::now(), at->id, at->at->keyed ? keyOf(request) : 0};
        runs[id].push_back(begun);
        runList.emplace_back(id, begun);
        note("run " + id + " at " + at->id + ", key " + std::to_string(begun.key));
    }
    co_await sleepFor(workTime);
    headers.emplace_back("X-Response-Signature", at->id);
    co_return http_response{200, headers, at->id + " " + request.path + " " + std::to_string(request.body.size())};
}

json world::report(server &from, std::uint64_t sequence)
{
    auto holds = json::array();
    const auto now = clock::now();
    if (now >= from.holdsUntil) {
        from.holds.clear();
    }
    for (const auto &row : from.holds) {
        holds.push_back({row.from, row.to, row.fence});
    }
    for (const auto &[row, until] : from.releasing) {
        if (now < until) {
            from.freed.push_back({row.from, row.to, "5c0e7a21d94b" + std::to_string(row.from)});
        }
    }
    from.releasing.clear();
    return {{"service", from.at->service},
            {"address", toString(from.at->app)},
            {"zone", from.at->zone},
            {"version", "v1"},
            {"slots", 8},
            {"cold_left", "0ms"},
            {"sequence", sequence},
            {"born", from.born},
            {"state", "ready"},
            {"holds", holds},
            {"freed", from.freed}};
}

void world::applyGrant(server &to, const json &body, clock::time_point sentAt)
{
    if (!body.contains("holds")) {
        return;
    }
    std::vector<held_row> taken;
    for (const auto &row : body.at("holds")) {
        const held_row granted{row.at(0), row.at(1), row.at(2)};
        bool stale = false;
        for (auto block = granted.from / blockKeys; block <= granted.to / blockKeys; ++block) {
            stale = stale || to.highestFence[block] > granted.fence;
        }
        if (stale) {
            continue;
        }
        for (auto block = granted.from / blockKeys; block <= granted.to / blockKeys; ++block) {
            to.highestFence[block] = granted.fence;
        }
        taken.push_back(granted);
    }
    for (const auto &row : to.holds) {
        const bool kept = std::any_of(taken.begin(), taken.end(), [&](const auto &other) {
            return other.from <= row.from && row.to <= other.to && other.fence == row.fence;
        });
        if (!kept) {
            to.releasing.emplace_back(row, to.holdsUntil);
        }
    }
    to.holds = std::move(taken);
    to.holdsUntil = sentAt + parseTime(body.at("hold_time").get<std::string>());
}

asio::awaitable<void> world::beat(std::shared_ptr<server> from)
{
    for (;;) {
        json body;
        bool beating = false;
        {
            const std::lock_guard lock(mutex);
            beating = from->beating;
            if (beating) {
                body = report(*from, ++from->sequence);
            }
        }
        bool quick = false;
        if (beating) {
            last_reason why;
            const auto sentAt = clock::now();
            http_request request{
                "POST", "/api/Instances.Heartbeat/" + from->id, {{"Content-Type", "application/json"}}, body.dump()};
            const auto response =
                co_await sendRequest(pool, from->at->control, std::move(request), std::chrono::seconds(1), why);
            const std::lock_guard lock(mutex);
            from->largestGrant = std::max(from->largestGrant, response ? response->body.size() : 0);
            if (response && response->status == 200 && response->body.size() <= largestAnswer) {
                from->freed = json::array();
                applyGrant(*from, json::parse(response->body), sentAt);
                quick = !from->releasing.empty();
            }
        }
        co_await sleepFor(quick ? releaseInterval : heartbeatInterval);
    }
}

unsigned world::sendLeave(server &of)
{
    const auto born = json{{"born", of.born}}.dump();
    asio::io_context own{1};
    unsigned status = 0;
    asio::co_spawn(
        own,
        [&]() -> asio::awaitable<void> {
            last_reason why;
            http_request request{"POST", "/api/Instances.Leave/" + of.id, {{"Content-Type", "application/json"}}, born};
            const auto connections = quetzalspool::makeHttpConnectionPool();
            const auto response =
                co_await sendRequest(connections, of.at->control, std::move(request), std::chrono::seconds(1), why);
            status = response ? response->status : 0;
        },
        asio::detached);
    own.run();
    return status;
}

unsigned world::sendLateHeartbeat(server &of, std::uint64_t sequence)
{
    json body;
    {
        const std::lock_guard lock(mutex);
        body = report(of, sequence);
    }
    asio::io_context own{1};
    unsigned status = 0;
    asio::co_spawn(
        own,
        [&]() -> asio::awaitable<void> {
            last_reason why;
            http_request request{
                "POST", "/api/Instances.Heartbeat/" + of.id, {{"Content-Type", "application/json"}}, body.dump()};
            const auto connections = quetzalspool::makeHttpConnectionPool();
            const auto response =
                co_await sendRequest(connections, of.at->control, std::move(request), std::chrono::seconds(1), why);
            status = response ? response->status : 0;
        },
        asio::detached);
    own.run();
    return status;
}

http_response world::call(const machine &through, const std::string &method, const std::string &path,
                          std::vector<http_header> headers, const std::string &body, milliseconds timeout)
{
    asio::io_context own{1};
    http_response answer{0, {}, ""};
    const auto id = findHeader(headers, "X-Request-Id");
    note("sent " + id + " " + method + " " + path + " through " + through.name);
    asio::co_spawn(
        own,
        [&]() -> asio::awaitable<void> {
            last_reason why;
            http_request request{method, path, std::move(headers), body};
            request.headers.emplace_back("Host", "a.example");
            const auto connections = quetzalspool::makeHttpConnectionPool();
            const auto response = co_await sendRequest(connections, through.outbound, std::move(request), timeout, why);
            if (response) {
                answer = *response;
            }
        },
        asio::detached);
    own.run();
    note("answered " + id + " with " + std::to_string(answer.status));
    return answer;
}

std::string world::newId()
{
    const std::lock_guard lock(mutex);
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << 0x9c41d07b00000000ULL + nextId++;
    return text.str();
}

bool world::eventually(milliseconds timeout, const std::function<bool()> &condition)
{
    const auto until = clock::now() + timeout;
    while (!condition()) {
        if (clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return true;
}

void world::note(const std::string &line)
{
    static std::mutex recordMutex;
    const std::lock_guard lock(recordMutex);
    const auto passed = std::chrono::duration<double>(clock::now() - startedAt).count();
    record << std::fixed << std::setprecision(3) << passed << " s  " << line << std::endl;
}

std::size_t world::heldKeys(const std::string &service)
{
    const std::lock_guard lock(mutex);
    std::size_t keys = 0;
    for (const auto &at : servers) {
        if (at->at->service == service && clock::now() < at->holdsUntil) {
            for (const auto &row : at->holds) {
                keys += row.to - row.from + 1;
            }
        }
    }
    return keys;
}

std::vector<run> world::runsOf(const std::string &id)
{
    const std::lock_guard lock(mutex);
    return runs[id];
}

std::size_t world::runsAt(const std::string &serverId, clock::time_point since)
{
    const std::lock_guard lock(mutex);
    return static_cast<std::size_t>(std::count_if(runList.begin(), runList.end(), [&](const auto &entry) {
        return entry.second.server == serverId && entry.second.at >= since;
    }));
}

std::string world::lastServerOf(std::uint32_t key)
{
    const std::lock_guard lock(mutex);
    const auto found =
        std::find_if(runList.rbegin(), runList.rend(), [&](const auto &entry) { return entry.second.key == key; });
    return found == runList.rend() ? "" : found->second.server;
}

std::vector<overlap> world::overlaps()
{
    const std::lock_guard lock(mutex);
    return overlapList;
}

std::map<std::string, std::size_t> world::runsDuring(const overlap &seen)
{
    const std::lock_guard lock(mutex);
    std::map<std::string, std::size_t> counts;
    for (const auto &[id, begun] : runList) {
        const bool within = begun.at >= seen.since && begun.at <= seen.last;
        if (within && (begun.server == seen.first || begun.server == seen.second)) {
            ++counts[begun.server];
        }
    }
    return counts;
}

asio::awaitable<void> world::watchOverlaps()
{
    for (;;) {
        co_await sleepFor(milliseconds(20));
        const std::lock_guard lock(mutex);
        const auto now = clock::now();
        for (std::size_t a = 0; a < servers.size(); ++a) {
            for (std::size_t b = a + 1; b < servers.size(); ++b) {
                const auto key = sharedKey(*servers[a], *servers[b], now);
                if (!key) {
                    continue;
                }
                const auto known = std::find_if(overlapList.begin(), overlapList.end(), [&](const auto &seen) {
                    return seen.first == servers[a]->id && seen.second == servers[b]->id;
                });
                if (known == overlapList.end()) {
                    overlapList.push_back({servers[a]->id, servers[b]->id, *key, now, now});
                } else {
                    known->last = now;
                }
            }
        }
    }
}

} // namespace review
