/** @file crash_suspect_codec.cpp Text forms of fingerprints and of suspects. */
#include "crash_suspect_func.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace quetzalspool {

namespace {

using json = nlohmann::json;

constexpr std::size_t halfDigits = 16; ///< Hexadecimal digits of half a fingerprint.
constexpr int hexadecimal = 16; ///< Base of the digits.

std::string formatHalf(std::uint64_t half)
{
    char text[halfDigits + 1];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(half));
    return text;
}

std::optional<std::uint64_t> parseHalf(std::string_view text)
{
    std::uint64_t half = 0;
    const auto *end = text.data() + text.size();
    const auto [parsedTo, error] = std::from_chars(text.data(), end, half, hexadecimal);
    return error == std::errc() && parsedTo == end ? std::optional(half) : std::nullopt;
}

std::optional<request_fingerprint> parseFingerprint(std::string_view text)
{
    if (text.size() != 2 * halfDigits) {
        return std::nullopt;
    }
    const auto high = parseHalf(text.substr(0, halfDigits));
    const auto low = parseHalf(text.substr(halfDigits));
    return high && low ? std::optional(request_fingerprint{*high, *low}) : std::nullopt;
}

} // namespace

std::string toString(const request_fingerprint &fingerprint)
{
    return formatHalf(fingerprint.high) + formatHalf(fingerprint.low);
}

std::string formatSuspects(const std::vector<crash_suspect> &suspects)
{
    auto rows = json::array();
    for (const auto &suspect : suspects) {
        rows.push_back({toString(suspect.fingerprint), suspect.crashes});
    }
    return json{{"suspects", std::move(rows)}}.dump();
}

std::optional<std::vector<crash_suspect>> parseSuspects(std::string_view text, last_reason &why)
{
    const auto value = json::parse(text, nullptr, false);
    const auto rows = value.find("suspects");
    if (rows == value.end() || !rows->is_array() || rows->size() > maxSuspectsOfCrash) {
        return failed(why, "parse crash suspects", "", "no list of suspects");
    }
    std::vector<crash_suspect> suspects;
    for (const auto &row : *rows) {
        const bool isPair = row.is_array() && row.size() == 2 && row[0].is_string() && row[1].is_number_unsigned();
        const auto fingerprint = isPair ? parseFingerprint(row[0].get_ref<const std::string &>()) : std::nullopt;
        if (!fingerprint || row[1].get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max()) {
            return failed(why, "parse crash suspects", "", "a suspect is malformed");
        }
        suspects.push_back({*fingerprint, row[1].get<std::uint32_t>()});
    }
    return suspects;
}

} // namespace quetzalspool
