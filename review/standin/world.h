/** @file world.h Stand-ins for the platform of a small deployment on loopback: store, servers, clients, processes. */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include "http_client.h"
#include "http_server.h"

#include <boost/beast/core/tcp_stream.hpp>

#include <filesystem>
#include <fstream>
#include <list>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>
#include <vector>

namespace review {

using json = nlohmann::json;
using clock = std::chrono::steady_clock;
using quetzalspool::endpoint;
using quetzalspool::http_header;
using quetzalspool::http_request;
using quetzalspool::http_response;
using quetzalspool::milliseconds;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/** One item of the store. */
struct store_item
{
    std::string value; ///< Base64 text.
    std::int64_t revision = 0; ///< Revision of the last change.
    std::int64_t lease = 0; ///< Lease; 0 for none.
};

/** A lease of the store. */
struct store_lease
{
    milliseconds ttl{0}; ///< Time to live.
    clock::time_point until; ///< End, unless it is renewed.
};

/** What a store loses when it comes back from an older copy. */
struct store_state
{
    std::map<std::string, store_item> items; ///< Items by key.
    std::map<std::int64_t, store_lease> leases; ///< Leases by id.
    std::vector<json> events; ///< All changes, in order.
    std::int64_t revision = 1; ///< Revision of the last change.
};

/** A write of the operator. */
struct operator_write
{
    clock::time_point at; ///< When it was made.
    std::string key; ///< Key.
    std::string value; ///< Value.
};

/** A machine: its addresses, its daemon and its server. */
struct machine
{
    std::string name; ///< Name.
    std::string zone; ///< Zone.
    std::string service; ///< Service of its server.
    bool keyed = false; ///< Whether that service is sharded.
    endpoint peers; ///< First internal port.
    endpoint admin; ///< Second internal port.
    endpoint outbound; ///< Address for clients.
    endpoint ready; ///< Address of the readiness check.
    endpoint control; ///< Address for heartbeats.
    endpoint app; ///< Address of the server.
    pid_t daemon = 0; ///< Process of the daemon; 0 if none runs.
};

/** Keys that a server holds, as [from, to] with their fencing token. */
struct held_row
{
    std::uint32_t from = 0; ///< First key.
    std::uint32_t to = 0; ///< Last key.
    std::uint64_t fence = 0; ///< Fencing token.
};

/** A server: it serves what it holds, and sends heartbeats as the pages say. */
struct server
{
    machine *at = nullptr; ///< Its machine.
    std::string id; ///< Id of this incarnation.
    std::int64_t born = 0; ///< Start, Unix milliseconds.
    std::uint64_t sequence = 0; ///< Sequence of the last heartbeat.
    std::vector<held_row> holds; ///< Rows that it holds.
    clock::time_point holdsUntil; ///< End of its hold.
    std::vector<std::pair<held_row, clock::time_point>> releasing; ///< Rows to be given back, with the end of the hold.
    json freed = json::array(); ///< Rows given back and not yet reported.
    std::map<std::uint32_t, std::uint64_t> highestFence; ///< Highest fencing token seen, by block of 16 keys.
    bool beating = true; ///< Whether it sends heartbeats.
    bool leaving = false; ///< Whether it says in its answers that it leaves.
    std::size_t largestGrant = 0; ///< Bytes of the largest answer to a heartbeat.
    std::shared_ptr<tcp::acceptor> acceptor; ///< Listening socket.
    std::set<std::shared_ptr<boost::beast::tcp_stream>> connections; ///< Open connections.
};

/** A run of a request at a server. */
struct run
{
    clock::time_point at; ///< When the server began it.
    std::string server; ///< Id of the server.
    std::uint32_t key = 0; ///< Key; 0 in services without keys.
};

/** Two servers that hold the same key. */
struct overlap
{
    std::string first; ///< Id of a server.
    std::string second; ///< Id of another server.
    std::uint32_t key = 0; ///< A key that both hold.
    clock::time_point since; ///< When it was first seen.
    clock::time_point last; ///< When it was last seen.
};

/** Store, servers and daemons. The mutex guards everything that handlers share with the main thread. */
class world
{
public:
    /** Makes the stand-ins; the folder receives the settings, the logs and record.txt. */
    world(std::filesystem::path folder, std::filesystem::path repository);
    ~world();
    world(const world &) = delete;
    world &operator=(const world &) = delete;

    /** Adds a machine with free ports. */
    machine &addMachine(const std::string &service, bool keyed);
    /** Starts the daemon of a machine with the command of the deploy file. */
    void startDaemon(machine &at);
    /** Sends a signal to the daemon and, for SIGKILL, waits for its end. */
    void signalDaemon(machine &at, int signal);
    /** Stops a daemon as planned, and waits for its end. */
    void stopDaemon(machine &at);
    /** Starts a server. */
    server &startServer(machine &at);
    /** Sends the leave call of a server; returns the status of the answer. */
    unsigned sendLeave(server &of);
    /** Sends a heartbeat with a sequence that the server has used already: one that comes late. */
    unsigned sendLateHeartbeat(server &of, std::uint64_t sequence);
    /** Writes an operator's value to the store. */
    void put(const std::string &key, const std::string &value);
    /** The store is away for a time, then comes back from a copy; the operator writes again what it wrote since. */
    void comeBackFromCopy(milliseconds away, milliseconds age);
    /** Sends a request to the outbound address of a machine, on a new connection; status 0 without an answer. */
    http_response call(const machine &through, const std::string &method, const std::string &path,
                       std::vector<http_header> headers, const std::string &body, milliseconds timeout);
    /** Makes a new request id. */
    std::string newId();
    /** Waits until a condition holds; returns whether it did in time. */
    static bool eventually(milliseconds timeout, const std::function<bool()> &condition);
    /** Writes a line to record.txt, with the time since the start. */
    void note(const std::string &line);
    /** Number of keys that unexpired holds of all servers of a service cover. */
    std::size_t heldKeys(const std::string &service);
    /** Runs of a request. */
    std::vector<run> runsOf(const std::string &id);
    /** All runs at a server since a time. */
    std::size_t runsAt(const std::string &serverId, clock::time_point since);
    /** Id of the server that began the last request on a key; empty if none did. */
    std::string lastServerOf(std::uint32_t key);
    /** Pairs of servers that held the same key, as seen each 20 ms. */
    std::vector<overlap> overlaps();
    /** Runs on keys of an overlap, by server, while it lasted. */
    std::map<std::string, std::size_t> runsDuring(const overlap &seen);

    /** Makes some servers send additional bytes after a share of their answers, when the next answer is expected. */
    void setExtraBytes(std::set<std::string> serverIds, int everyNth);
    /** Number of answers that were followed by additional bytes. */
    std::size_t extraSent();

    milliseconds workTime{20}; ///< Time that a server works on a request.
    clock::time_point startedAt = clock::now(); ///< Start of the case.

private:
    asio::awaitable<http_response> answerStore(http_request request);
    http_response commit(const json &body);
    json itemJson(const std::string &key) const;
    void expireLeases();
    void launch(const std::shared_ptr<server> &made);
    asio::awaitable<void> acceptConnections(std::shared_ptr<server> at);
    asio::awaitable<void> serveConnection(std::shared_ptr<server> at, std::shared_ptr<boost::beast::tcp_stream> stream);
    bool owesExtraBytes(const server &at);
    asio::awaitable<http_response> answerRequest(std::shared_ptr<server> at, http_request request);
    asio::awaitable<void> beat(std::shared_ptr<server> from);
    json report(server &from, std::uint64_t sequence);
    void applyGrant(server &to, const json &body, clock::time_point sentAt);
    asio::awaitable<void> watchOverlaps();
    asio::awaitable<void> takeCopies();
    void listen(const endpoint &at, quetzalspool::http_handler handler);

    std::filesystem::path folder;
    std::filesystem::path repository;
    std::ofstream record;
    asio::io_context context{1};
    asio::io_context ports{1};
    std::mutex mutex;
    store_state store;
    std::list<std::pair<clock::time_point, store_state>> copies;
    std::vector<operator_write> operatorWrites;
    std::int64_t era = 1;
    bool storeAway = false;
    std::int64_t nextLease = 1000;
    std::uint64_t nextId = 1;
    endpoint storeAt;
    std::list<machine> machines;
    std::vector<std::shared_ptr<server>> servers;
    std::map<std::string, std::vector<run>> runs;
    std::vector<std::pair<std::string, run>> runList;
    std::vector<overlap> overlapList;
    std::set<std::string> extraAt;
    int extraEvery = 0;
    std::size_t answers = 0;
    std::size_t extraCount = 0;
    std::uint16_t nextPort = 0;
    std::shared_ptr<quetzalspool::http_connection_pool> pool = quetzalspool::makeHttpConnectionPool();
    std::thread thread;

    endpoint freePort();
};

} // namespace review

#endif // REVIEW_WORLD_H
