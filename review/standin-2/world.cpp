/** @file world.cpp Daemons, heartbeats and clients of the deployment. */
#include "world.h"

#include "store.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <regex>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace review {

namespace {

constexpr milliseconds heartbeatInterval{870}; ///< As in the settings of the deployments.
constexpr milliseconds releaseInterval{80}; ///< While keys are being released; 100 ms at most.
constexpr milliseconds stateCheckInterval{10}; ///< Interval of the checks for a changed state of a server.
constexpr milliseconds heartbeatLimit{1000}; ///< A later response does not acknowledge a heartbeat.
constexpr std::size_t heartbeatAnswerLimit = 4096; ///< A larger answer does not acknowledge a heartbeat.
constexpr milliseconds processCheckInterval{50}; ///< Interval of the checks whether processes have ended.
constexpr milliseconds readyInterval{1000}; ///< Interval of the readiness checks.
constexpr milliseconds connectLimit{1000}; ///< Time that a client allows for a connection.
constexpr milliseconds startDelay{300}; ///< Machines start within this time.
constexpr unsigned firstPort = 12000; ///< First port of the first block.
constexpr unsigned portBlocks = 95; ///< Blocks of ports, one for a process.
constexpr unsigned portsPerBlock = 200; ///< Ports of a block.
constexpr const char *binary = "target/apps/quetzalspoold"; ///< Program of the deploy file.

/** Fills in a template of settings, with the part of its syntax that the deploy file's template uses. */
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

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/**
 * Finds free ports below those that the kernel gives to outgoing connections. Each process searches a block of its own:
 * daemons share a port if two of them listen on it.
 */
std::vector<std::uint16_t> findPorts(asio::io_context &context, std::size_t count)
{
    static unsigned next = firstPort + static_cast<unsigned>(getpid()) % portBlocks * portsPerBlock;
    std::vector<std::uint16_t> ports;
    while (ports.size() < count) {
        const auto port = static_cast<std::uint16_t>(next++);
        tcp::acceptor acceptor(context, tcp::v4());
        error_code code;
        acceptor.bind({asio::ip::address_v4::loopback(), port}, code);
        if (!code) {
            ports.push_back(port);
        }
    }
    return ports;
}

json settingsFields(const world &in, const machine &at)
{
    // The bounds of the deployments' sheets.
    const json bounds{
        {"seed_lag", "3s"},  {"addr_reuse", "2s"}, {"contact", "3000ms"},         {"ack", "4000ms"},
        {"drain", "2000ms"}, {"grace", "6s"},      {"config_deadline", "2000ms"}, {"hold_max", "10000ms"}};
    return {{"node_name", at.name},
            {"region", at.region},
            {"zone", at.zone},
            {"ip", "127.0.0.1"},
            {"internal_ports", {at.internal, at.internalLast}},
            {"listen",
             {{"outbound", loopback(at.outbound)}, {"ready", loopback(at.ready)}, {"control", loopback(at.control)}}},
            {"app_addr", loopback(at.app)},
            {"service", at.service},
            {"limits", {{"memory_mb", 260}}},
            {"bounds", bounds},
            {"platform", {{"address", loopback(in.store.port)}, {"reads_per_s", 2000}}}};
}

asio::awaitable<void> sendHeartbeats(world &in, std::shared_ptr<app_server> server)
{
    while (server->beats) {
        co_await sendHeartbeat(in, server, nextHeartbeat(*server));
        const auto until = clock::now() + (server->keys.releasing.empty() ? heartbeatInterval : releaseInterval);
        // A change of the state is reported at once.
        const bool drained = server->draining;
        while (clock::now() < until && drained == server->draining) {
            co_await sleepFor(stateCheckInterval);
        }
    }
}

asio::awaitable<std::optional<response_message>> post(world &in, std::uint16_t port, std::string path, std::string body)
{
    client_connection client(in.context.get_executor());
    if (!co_await connectClient(client, port)) {
        co_return std::nullopt;
    }
    request_message request{http::verb::post, path, 11};
    request.set(http::field::host, loopback(port));
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    const auto answer = co_await exchange(client, request, heartbeatLimit);
    co_return answer.complete ? std::optional(answer.message) : std::nullopt;
}

asio::awaitable<bool> isReady(world &in, const machine &at)
{
    client_connection client(in.context.get_executor());
    if (!co_await connectClient(client, at.ready)) {
        co_return false;
    }
    request_message request{http::verb::get, "/api/ready", 11};
    request.set(http::field::host, loopback(at.ready));
    const auto answer = co_await exchange(client, request, connectLimit);
    co_return answer.complete &&answer.message.result_int() == 200;
}

} // namespace

void note(world &in, json line)
{
    line["at_ms"] = elapsedMs(in);
    in.record << line.dump(-1, ' ', false, json::error_handler_t::replace) << std::endl;
}

std::int64_t elapsedMs(const world &in)
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - in.begunAt).count();
}

asio::awaitable<void> sleepFor(milliseconds span)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, span);
    error_code code;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
}

std::unique_ptr<world> makeWorld(const std::string &recordFile, const json &config)
{
    auto made = std::make_unique<world>();
    made->repository = std::filesystem::current_path();
    made->record.open(recordFile);
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!made->record || mkdtemp(name.data()) == nullptr || !std::filesystem::exists(made->repository / binary)) {
        return nullptr;
    }
    made->folder = name;
    startStore(*made);
    putItem(*made, "op/config", config.dump());
    return made;
}

machine &addMachine(world &in, const std::string &name, const std::string &zone, const std::string &service)
{
    auto made = std::make_unique<machine>();
    const auto ports = findPorts(in.context, 6);
    made->name = name;
    made->zone = zone;
    made->region = "r";
    made->service = service;
    made->internal = ports[0];
    made->internalLast = ports[1];
    made->outbound = ports[2];
    made->ready = ports[3];
    made->control = ports[4];
    made->app = ports[5];
    in.machines.push_back(std::move(made));
    return *in.machines.back();
}

bool startDaemon(world &in, machine &at)
{
    const auto settings = (in.folder / (at.name + ".toml")).string();
    const auto text = readFile(in.repository / "deploy/settings.toml.in");
    std::ofstream(settings) << fillTemplate(text, settingsFields(in, at));
    const auto program = (in.repository / binary).string();
    std::vector<std::string> words{program, "--settings", settings};
    std::vector<char *> argv;
    for (auto &word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const auto log = (in.folder / (at.name + ".log")).string();
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    const bool started = posix_spawn(&at.daemon, program.c_str(), &actions, nullptr, argv.data(), environ) == 0;
    posix_spawn_file_actions_destroy(&actions);
    note(in, {{"event", "daemon-started"}, {"machine", at.name}, {"started", started}});
    return started;
}

std::shared_ptr<app_server> startServer(world &in, machine &at, const std::string &id)
{
    auto server = std::make_shared<app_server>();
    server->id = id;
    server->service = at.service;
    server->port = at.app;
    server->control = at.control;
    server->sharded = at.sharded;
    const auto unixTime = std::chrono::system_clock::now().time_since_epoch();
    server->bornMs = std::chrono::duration_cast<milliseconds>(unixTime).count();
    at.server = server;
    listenForRequests(in, server);
    asio::co_spawn(in.context, sendHeartbeats(in, server), asio::detached);
    return server;
}

asio::awaitable<void> watchProcesses(world &in, milliseconds restartAfter)
{
    for (;;) {
        co_await sleepFor(processCheckInterval);
        for (const auto &at : in.machines) {
            int status = 0;
            if (at->daemon <= 0 || waitpid(at->daemon, &status, WNOHANG) != at->daemon) {
                continue;
            }
            at->daemon = 0;
            ++at->ownEnds;
            note(in,
                 {{"event", "daemon-ended-by-itself"},
                  {"machine", at->name},
                  {"signal", WIFSIGNALED(status) ? WTERMSIG(status) : 0},
                  {"exit", WIFEXITED(status) ? WEXITSTATUS(status) : -1}});
            co_await sleepFor(restartAfter);
            startDaemon(in, *at);
        }
    }
}

void killDaemon(world &in, machine &at)
{
    if (at.daemon > 0) {
        kill(at.daemon, SIGKILL);
        waitpid(at.daemon, nullptr, 0);
        at.daemon = 0;
        note(in, {{"event", "daemon-killed"}, {"machine", at.name}});
    }
}

void endWorld(world &in)
{
    for (const auto &at : in.machines) {
        killDaemon(in, *at);
    }
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(in.folder, ignored);
    }
}

asio::awaitable<bool> awaitReady(world &in, milliseconds limit)
{
    const auto until = clock::now() + limit;
    while (clock::now() < until) {
        bool all = true;
        for (const auto &at : in.machines) {
            all = co_await isReady(in, *at) && all;
        }
        if (all) {
            co_return true;
        }
        co_await sleepFor(readyInterval);
    }
    co_return false;
}

request_message makeRequest(world &in, http::verb method, const std::string &path, milliseconds deadline)
{
    request_message request{method, path, 11};
    request.set(http::field::host, "a.example");
    request.set("X-Request-Id", "request-" + std::to_string(++in.requests));
    request.set("X-Deadline-Ms", std::to_string(deadline.count()));
    return request;
}

asio::awaitable<bool> connectClient(client_connection &client, std::uint16_t port)
{
    error_code code;
    client.stream.expires_after(connectLimit);
    co_await client.stream.async_connect(tcp::endpoint(asio::ip::address_v4::loopback(), port),
                                         asio::redirect_error(asio::use_awaitable, code));
    error_code ignored;
    client.stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return !code;
}

asio::awaitable<client_answer> exchange(client_connection &client, const request_message &request, milliseconds limit)
{
    client_answer answer;
    error_code code;
    client.stream.expires_after(limit);
    co_await http::async_write(client.stream, request, asio::redirect_error(asio::use_awaitable, code));
    if (!code) {
        co_await http::async_read(client.stream, client.buffer, answer.message,
                                  asio::redirect_error(asio::use_awaitable, code));
    }
    answer.complete = !code;
    answer.closed = code && code != beast::error::timeout;
    client.answered += answer.complete ? 1 : 0;
    co_return answer;
}

json nextHeartbeat(app_server &server)
{
    json heartbeat{{"service", server.service},
                   {"address", loopback(server.port)},
                   {"zone", "z"},
                   {"version", "v1"},
                   {"slots", server.slots},
                   {"state", server.draining ? "draining" : "ready"},
                   {"cold_left", "0ms"},
                   {"sequence", ++server.sequence},
                   {"born", server.bornMs}};
    if (server.sharded) {
        addKeys(server, heartbeat);
    }
    return heartbeat;
}

asio::awaitable<bool> sendHeartbeat(world &in, std::shared_ptr<app_server> server, json body, bool applies)
{
    const auto sentAt = clock::now();
    const auto answer = co_await post(in, server->control, "/api/Instances.Heartbeat/" + server->id, body.dump());
    const bool good = answer && answer->result_int() == 200;
    const bool acknowledged = good && answer->body().size() <= heartbeatAnswerLimit;
    if (good && !acknowledged) {
        note(in, {{"event", "heartbeat-answer-too-large"}, {"server", server->id}, {"bytes", answer->body().size()}});
    }
    if (acknowledged && applies && server->sharded) {
        applyKeys(in, *server, json::parse(answer->body()), sentAt);
    }
    co_return acknowledged;
}

asio::awaitable<bool> sendLeave(world &in, std::shared_ptr<app_server> server)
{
    server->beats = false;
    server->leaving = true;
    const json body{{"born", server->bornMs}};
    const auto answer = co_await post(in, server->control, "/api/Instances.Leave/" + server->id, body.dump());
    const bool acknowledged = answer && answer->result_int() == 200;
    note(in, {{"event", "leave"}, {"server", server->id}, {"acknowledged", acknowledged}});
    co_return acknowledged;
}

json twoServices()
{
    return json::parse(R"({"version":7,
        "services":[{"name":"desk","health_path":"/health"},{"name":"ledger","health_path":"/health"}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
        "virtual_hosts":[{"host":"a.example","paths":[
        {"name":"desk-read","path_prefix":"/desk/","kind":"safe","timeout":"3000ms","target_latency":"600ms",
         "priority":2,"service":"desk","max_attempts":2},
        {"name":"ledger-read","path_prefix":"/ledger/","kind":"safe","timeout":"3000ms","target_latency":"600ms",
         "priority":2,"service":"ledger","max_attempts":2}]}]})");
}

int runCase(int argc, char **argv, const json &config, const std::function<asio::awaitable<verdict>(world &)> &scenario)
{
    auto in = argc == 2 ? makeWorld(argv[1], config) : nullptr;
    if (!in) {
        std::fprintf(stderr, "usage: %s RECORD, from the root of the repository, after the builds\n", argv[0]);
        return static_cast<int>(verdict::could_not_run);
    }
    const char *trouble = std::getenv("TROUBLE");
    in->trouble = trouble == nullptr || std::string(trouble) != "0";
    auto result = verdict::could_not_run;
    asio::co_spawn(in->context, scenario(*in), [&](const std::exception_ptr &failure, verdict ended) {
        if (failure) {
            try {
                std::rethrow_exception(failure);
            } catch (const std::exception &error) {
                note(*in, {{"event", "scenario-failed"}, {"reason", error.what()}});
            }
        }
        result = failure ? verdict::could_not_run : ended;
        in->context.stop();
    });
    in->context.run();
    note(*in, {{"event", "verdict"}, {"exit", static_cast<int>(result)}, {"trouble", in->trouble}});
    endWorld(*in);
    std::printf("%s\n", result == verdict::held ? "held" : result == verdict::broken ? "broken" : "could not run");
    return static_cast<int>(result);
}

} // namespace review
