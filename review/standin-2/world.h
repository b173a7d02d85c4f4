/** @file world.h A small deployment on loopback: store, servers, daemons, clients, and a record of what they see. */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <utility> // Before Asio, which uses it without including it.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using json = nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using request_message = http::request<http::string_body>;
using response_message = http::response<http::string_body>;

/** How a case ended; the exit code of its program. */
enum class verdict
{
    held = 0,
    broken = 1,
    could_not_run = 2
};

/** One item of the store. */
struct stored_item
{
    std::string value; ///< Base64 text as received.
    std::int64_t revision = 0; ///< Revision of the last change.
    std::int64_t lease = 0; ///< Lease; 0 for none.
};

/** The platform's metadata store. */
struct store_state
{
    std::uint16_t port = 0; ///< Port at which it listens.
    std::map<std::string, stored_item> items; ///< All items.
    std::map<std::int64_t, std::pair<milliseconds, clock::time_point>> leases; ///< Time to live and end of each lease.
    std::vector<json> events; ///< All changes, oldest first.
    std::int64_t revision = 1; ///< Revision of the store.
    bool busy = false; ///< Whether it answers 503 to each call and does nothing.
};

/** Keys that a server holds or has held. */
struct key_row
{
    std::uint32_t from = 0; ///< First key.
    std::uint32_t to = 0; ///< Last key.
    std::uint64_t fence = 0; ///< Fencing token.
};

/** Keys of a server of a sharded service. */
struct held_keys
{
    std::vector<key_row> rows; ///< Rows that it holds.
    std::vector<key_row> releasing; ///< Rows that it must release and still works on.
    std::vector<key_row> freed; ///< Rows released since the last acknowledged heartbeat.
    std::vector<std::uint32_t> atWork; ///< Keys of the requests in progress.
    clock::time_point until{}; ///< End of its hold.
};

/** A request that a server began to run. */
struct server_run
{
    std::string server; ///< Id of the server.
    std::string request; ///< Id of the request.
    clock::time_point at{}; ///< When it began.
};

/** An application server. */
struct app_server
{
    std::string id; ///< Id of this start.
    std::string service; ///< Service.
    std::uint16_t port = 0; ///< Port at which it listens.
    std::uint16_t control = 0; ///< Port to which its heartbeats go.
    std::uint32_t slots = 12; ///< Requests that it processes at once.
    std::uint32_t queue = 48; ///< Requests that it queues.
    milliseconds work{200}; ///< Time that a request takes.
    std::int64_t bornMs = 0; ///< Unix milliseconds of its start.
    std::uint64_t sequence = 0; ///< Heartbeats sent.
    std::uint32_t running = 0; ///< Requests in progress.
    std::uint32_t waiting = 0; ///< Requests in its queue.
    bool beats = true; ///< Whether it sends heartbeats.
    bool leaving = false; ///< Whether it has announced its exit, which all its answers say.
    bool draining = false; ///< Whether its heartbeats say that it drains.
    bool sharded = false; ///< Whether its service is divided by key.
    held_keys keys; ///< Its keys, if so.
};

/** A machine with a daemon and a server. */
struct machine
{
    std::string name; ///< Name.
    std::string zone; ///< Zone.
    std::string region; ///< Region.
    std::string service; ///< Service of its server.
    bool sharded = false; ///< Whether that is divided by key.
    std::uint16_t internal = 0; ///< First internal port.
    std::uint16_t internalLast = 0; ///< Second internal port.
    std::uint16_t outbound = 0; ///< Port for clients.
    std::uint16_t ready = 0; ///< Port for readiness.
    std::uint16_t control = 0; ///< Port for heartbeats.
    std::uint16_t app = 0; ///< Port of the server.
    pid_t daemon = 0; ///< Process of the daemon; 0 while it does not run.
    int ownEnds = 0; ///< How often the process ended by itself.
    std::shared_ptr<app_server> server; ///< Server.
};

/** The deployment. */
struct world
{
    asio::io_context context{1}; ///< Runs all stand-ins.
    std::ofstream record; ///< What was sent, answered and run; one JSON object a line.
    clock::time_point begunAt = clock::now(); ///< Time 0 of the record.
    std::filesystem::path repository; ///< Root of the repository.
    std::filesystem::path folder; ///< Temporary folder of this run.
    store_state store; ///< Store.
    std::vector<std::unique_ptr<machine>> machines; ///< Machines.
    std::vector<server_run> runs; ///< All that servers began to run.
    std::uint64_t requests = 0; ///< Requests that clients have sent.
    std::uint64_t doubleOwners = 0; ///< Keys given to a server while another still worked on them within its hold.
    bool trouble = true; ///< Whether the disruption takes place.
};

/** Answer that a client got. */
struct client_answer
{
    bool complete = false; ///< Whether a complete response arrived.
    bool closed = false; ///< Whether the connection ended before.
    response_message message; ///< Response.
};

/** Connection of a client. */
struct client_connection
{
    explicit client_connection(const asio::any_io_executor &executor)
        : stream(executor)
    { }

    beast::tcp_stream stream; ///< Transport.
    beast::flat_buffer buffer; ///< Bytes read ahead.
    std::uint64_t answered = 0; ///< Requests answered on it.
};

/** Makes the deployment: opens the record and the temporary folder, and starts the store with a configuration. */
std::unique_ptr<world> makeWorld(const std::string &recordFile, const json &config);

/** Adds a machine, with free ports. */
machine &addMachine(world &in, const std::string &name, const std::string &zone, const std::string &service);

/** Starts the daemon of a machine by the command and the template of the deploy file. */
bool startDaemon(world &in, machine &at);

/** Starts the server of a machine, with a new id. */
std::shared_ptr<app_server> startServer(world &in, machine &at, const std::string &id);

/** Notes processes that ended by themselves; starts them again after a short delay, as the platform does. */
asio::awaitable<void> watchProcesses(world &in, milliseconds restartAfter);

/** Kills the daemon of a machine and waits for its end. */
void killDaemon(world &in, machine &at);

/** Ends all processes and removes the temporary folder. */
void endWorld(world &in);

/** Writes a line of the record. */
void note(world &in, json line);

/** Milliseconds since the start of the record. */
std::int64_t elapsedMs(const world &in);

asio::awaitable<void> sleepFor(milliseconds span);

/** Waits until the readiness of all machines is confirmed. */
asio::awaitable<bool> awaitReady(world &in, milliseconds limit);

/** Makes a client's request with a new id. */
request_message makeRequest(world &in, http::verb method, const std::string &path, milliseconds deadline);

/** Connects to a port of this host. */
asio::awaitable<bool> connectClient(client_connection &client, std::uint16_t port);

/** Sends a request and reads the answer, until the time limit. */
asio::awaitable<client_answer> exchange(client_connection &client, const request_message &request, milliseconds limit);

/** Body of the next heartbeat of a server. */
json nextHeartbeat(app_server &server);

/**
 * Sends a heartbeat. Returns whether it was acknowledged. With `applies`, the server applies the answer, as for
 * heartbeats of its own that are acknowledged in time.
 */
asio::awaitable<bool> sendHeartbeat(world &in, std::shared_ptr<app_server> server, json body, bool applies = true);

/** Announces the exit of a server. Returns whether it was acknowledged. */
asio::awaitable<bool> sendLeave(world &in, std::shared_ptr<app_server> server);

/** Key of a request; 0 if it has none. */
std::uint32_t keyOf(const request_message &request);

/** Whether a server may run a request on a key. */
bool holdsKey(const app_server &server, std::uint32_t key);

/** Whether a server still works on a key that it holds or has to release, before its hold has run out. */
bool worksOnKey(const app_server &server, std::uint32_t key);

/** Adds the lists of keys to a heartbeat. */
void addKeys(app_server &server, json &heartbeat);

/** Applies the answer to an acknowledged heartbeat that was sent at a time; notes keys that another server works on. */
void applyKeys(world &in, app_server &server, const json &answer, clock::time_point sentAt);

/** Configuration with two services without keys, and a route to each. */
json twoServices();

/** Runs a case: its coroutine returns the verdict. */
int runCase(int argc, char **argv, const json &config,
            const std::function<asio::awaitable<verdict>(world &)> &scenario);

} // namespace review

#endif // REVIEW_WORLD_H
