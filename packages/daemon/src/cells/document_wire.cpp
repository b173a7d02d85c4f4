/** @file document_wire.cpp MessagePack encoding of the requests that compare and fetch documents. */
#include "document_wire.h"

#include "catalog_func.h"
#include "peer_wire.h"

#include <algorithm>

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

namespace quetzalspool {

namespace {

/** Key, revision, value and age in milliseconds, as encoded. Daemons of earlier builds neither send nor read the age.
 */
using document_row = std::tuple<std::string, std::int64_t, std::string, std::int64_t>;

constexpr milliseconds maxAge = std::chrono::hours(24 * 365 * 10); ///< Larger ages are invalid: they would overflow.

template <typename Value>
std::string pack(const Value &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

template <typename Value>
std::optional<Value> unpack(const std::string &body)
{
    try {
        return msgpack::unpack(body.data(), body.size()).get().as<Value>();
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::optional<std::string> handleDocumentRequest(const catalog_state &catalog, const peer_request &request,
                                                 steady_time now)
{
    if (request.path == comparePath) {
        const auto buckets = unpack<std::vector<std::uint64_t>>(request.body);
        return buckets ? std::optional(pack(differingDocuments(catalog, *buckets))) : std::nullopt;
    }
    const auto keys = unpack<std::vector<std::string>>(request.body);
    if (request.path != fetchPath || !keys) {
        return std::nullopt;
    }
    std::vector<document_row> rows;
    for (const auto &key : *keys) {
        const auto found = catalog.documents.find(key);
        if (found != catalog.documents.end()) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - found->second.since);
            rows.emplace_back(key, found->second.revision.value, *found->second.value, age.count());
        }
    }
    return pack(rows);
}

peer_request makeCompareRequest(const catalog_state &catalog)
{
    return {comparePath, {}, pack(std::vector<std::uint64_t>(catalog.buckets.begin(), catalog.buckets.end()))};
}

std::vector<std::pair<std::string, std::int64_t>> decodeDifferences(const std::string &body)
{
    return unpack<std::vector<std::pair<std::string, std::int64_t>>>(body).value_or(
        std::vector<std::pair<std::string, std::int64_t>>());
}

peer_request makeFetchRequest(const std::vector<std::string> &keys)
{
    return {fetchPath, {}, pack(keys)};
}

std::vector<document> decodeDocuments(const std::string &body, steady_time askedAt)
{
    std::vector<document> documents;
    for (auto &[key, revision, value, age] :
         unpack<std::vector<document_row>>(body).value_or(std::vector<document_row>())) {
        const auto since = askedAt - milliseconds(std::clamp<std::int64_t>(age, 0, maxAge.count()));
        documents.push_back({key, {revision}, std::make_shared<const std::string>(std::move(value)), since});
    }
    return documents;
}

} // namespace quetzalspool
