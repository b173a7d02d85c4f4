/** @file caller_request.cpp Validation of a caller's request against its route. */
#include "caller_request.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>

namespace quetzalspool {

namespace {

constexpr std::size_t maxKeyBytes = 512;
constexpr std::size_t maxIdBytes = 128;

int hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char low = static_cast<char>(c | 0x20);
    return low >= 'a' && low <= 'f' ? low - 'a' + 10 : -1;
}

/** Finds a path segment by index, ignoring the query. */
std::optional<std::string_view> findSegment(std::string_view path, std::uint32_t index)
{
    path = path.substr(0, path.find('?'));
    for (std::uint32_t at = 0; !path.empty(); ++at) {
        path.remove_prefix(1);
        const auto end = std::min(path.find('/'), path.size());
        if (at == index) {
            return path.substr(0, end);
        }
        path.remove_prefix(end);
    }
    return std::nullopt;
}

bool inNetwork(const asio::ip::address &address, const std::string &network)
{
    error_code code;
    const bool singleAddress = network.find('/') == std::string::npos;
    if (address.is_v4()) {
        const auto net = asio::ip::make_network_v4(singleAddress ? network + "/32" : network, code);
        return !code && asio::ip::network_v4(address.to_v4(), net.prefix_length()).canonical() == net.canonical();
    }
    const auto net = asio::ip::make_network_v6(singleAddress ? network + "/128" : network, code);
    return !code && asio::ip::network_v6(address.to_v6(), net.prefix_length()).canonical() == net.canonical();
}

/** Chooses one of a route's pools at random, by weight. */
pool_id choosePool(const route_row &route, std::uint64_t draw)
{
    std::uint64_t weights = 0;
    for (const auto &share : route.shares) {
        weights += share.weight;
    }
    if (weights == 0) {
        return route.pool;
    }
    auto remainder = draw % weights;
    for (const auto &share : route.shares) {
        if (remainder < share.weight) {
            return share.pool;
        }
        remainder -= share.weight;
    }
    return route.pool;
}

/** Whether a header is removed from callers' requests because only daemons may set it. */
bool isReserved(const std::string &name, const header_profile &names)
{
    using boost::algorithm::iequals;
    return boost::algorithm::istarts_with(name, "quetzalspool-") || iequals(name, names.deadline)
        || (!names.callerPool.empty() && iequals(name, names.callerPool))
        || (!names.expectedTarget.empty() && iequals(name, names.expectedTarget));
}

} // namespace

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] != '%') {
            out += text[at];
            continue;
        }
        if (at + 2 >= text.size() || hexDigit(text[at + 1]) < 0 || hexDigit(text[at + 2]) < 0) {
            return std::nullopt;
        }
        out += static_cast<char>(hexDigit(text[at + 1]) * 16 + hexDigit(text[at + 2]));
        at += 2;
    }
    return out;
}

request_target parseTarget(std::string_view target, std::string_view host)
{
    for (const std::string_view scheme : {"http://", "https://"}) {
        if (boost::algorithm::istarts_with(target, scheme)) {
            target.remove_prefix(scheme.size());
            const auto end = std::min(target.find_first_of("/?"), target.size());
            const std::string path(target.substr(end));
            return {std::string(target.substr(0, end)), path.starts_with('/') ? path : "/" + path};
        }
    }
    return {std::string(host), std::string(target)};
}

std::optional<std::string> findKey(const route_row &route, const http_request &request, caller_refusal &rejection)
{
    if (route.keyFrom == key_source::none) {
        return std::string();
    }
    std::optional<std::string> key;
    if (route.keyFrom == key_source::header) {
        key = findHeader(request.headers, route.keyHeader);
    } else if (const auto segment = findSegment(request.path, route.keySegment)) {
        key = percentDecode(*segment);
    }
    if (!key || key->empty() || key->size() > maxKeyBytes) {
        rejection = {400, "missing-or-bad-key"};
        return std::nullopt;
    }
    return key;
}

std::optional<route_row> keylessPart(const route_row &route, const routing_view &view)
{
    auto part = route;
    std::erase_if(part.shares, [&](const pool_share &share) {
        const auto pool = view.pools.find(share.pool);
        return pool == view.pools.end() || pool->second.row.keyed || share.weight == 0;
    });
    if (part.shares.empty()) {
        return std::nullopt;
    }
    part.pool = part.shares.front().pool;
    part.keyFrom = key_source::none;
    return part;
}

std::optional<keyed_route> resolveKey(const route_row &route, const routing_view &view, const http_request &request,
                                      caller_refusal &rejection)
{
    if (auto key = findKey(route, request, rejection)) {
        return keyed_route{route, std::move(*key)};
    }
    auto keyless = keylessPart(route, view);
    return keyless ? std::optional(keyed_route{std::move(*keyless), {}}) : std::nullopt;
}

std::string makeRequestId(std::mt19937_64 &random)
{
    const auto first = std::to_string(random());
    return first + "-" + std::to_string(random());
}

bool isCallerAllowed(const route_row &route, const std::string &address)
{
    error_code code;
    const auto from = asio::ip::make_address(address, code);
    return route.callers.empty()
        || (!code && std::any_of(route.callers.begin(), route.callers.end(), [&](const auto &network) {
               return inNetwork(from, network);
           }));
}

std::optional<milliseconds> requestedDeadline(const http_request &http, const header_profile &names)
{
    const auto deadlineMs = std::atoll(findHeader(http.headers, names.deadline).c_str());
    return deadlineMs > 0 ? std::optional(milliseconds(deadlineMs)) : std::nullopt;
}

routed_request makeRoutedRequest(const route_row &route, http_request http, std::string key,
                                 const request_origin &origin)
{
    routed_request request;
    const auto &names = origin.names;
    const auto &methods = route.idempotentMethods;
    request.idempotent = route.idempotent || std::find(methods.begin(), methods.end(), http.method) != methods.end();
    request.kind = request.idempotent ? request_class::lookup : route.kind;
    request.rank = route.rank;
    request.maxTargets = route.targetsPerRequest;
    request.route = route.name;
    request.regions = route.regions;
    request.pool = choosePool(route, origin.draw);
    request.key = std::move(key);
    auto deadline = route.deadline;
    const auto wanted = requestedDeadline(http, names);
    if (wanted) {
        deadline = std::min(deadline, *wanted);
    }
    request.deadline = origin.now + deadline;
    request.goal = route.latencyGoal.count() > 0 ? origin.now + route.latencyGoal - origin.retryAge : request.deadline;
    auto id = findHeader(http.headers, names.requestId);
    id = id.empty() ? findHeader(http.headers, "Idempotency-Key") : id;
    const bool usableId = !id.empty() && id.size() <= maxIdBytes;
    const bool composed = usableId && names.composeRequestIds;
    request.id = composed ? request.pool.value + "/" + request.key + "/" + id : usableId ? id : origin.generatedId;
    std::erase_if(http.headers, [&](const auto &header) { return isReserved(header.first, names); });
    if (!names.callerPool.empty()) {
        http.headers.emplace_back(names.callerPool, origin.callerPool.value);
    }
    request.http = std::move(http);
    return request;
}

} // namespace quetzalspool
