/** @file roster_exchange.cpp Changes of the store told from daemon to daemon. */
#include "roster_exchange.h"

#include "elapsed_clock.h"
#include "exchange_func.h"
#include "log_func.h"
#include "mirror_func.h"
#include "peer_wire.h"
#include "roster_follow.h"
#include "roster_keys.h"
#include "store_watch.h"
#include "upstream_func.h"

#include <algorithm>

namespace quetzalspool {

namespace {

using clock = elapsed_clock;

constexpr milliseconds longestWait{800}; ///< A question is answered after this long, also without a change.
constexpr milliseconds answerSlack{350}; ///< An answer may come this much later.
constexpr milliseconds connectTimeout{300}; ///< Bound on connecting to another daemon.
constexpr milliseconds avoidFor{3000}; ///< A daemon that did not answer is not asked again for this long.
constexpr milliseconds refusedFor{400}; ///< A daemon that knew nothing fresh is not asked again for this long.
constexpr unsigned answered = 200; ///< Status of an answer.
constexpr milliseconds askPause{50}; ///< After an answer with changes: those in quick succession come together.
constexpr milliseconds nobodyWait{200}; ///< Until the next look if there is nobody to ask.

/** Takes an answer. Returns whether it brought news. */
bool takeAnswer(roster_control &control, const changes_response &answer, steady_time askedAt)
{
    bool news = false;
    bool same = true;
    for (std::size_t index = 0; index < answer.updates.size(); ++index) {
        const auto &followed = control.followed[index];
        news = takeTold(control, *followed, answer.updates[index]) || news;
        same = same && mirrorDigest(followed->mirror) == answer.updates[index].digest;
    }
    applyVerification(control.exchange.state, control.state, answer, same, askedAt, clock::now());
    return news;
}

peer_request questionOf(const roster_control &control)
{
    std::string seen;
    for (const auto &followed : control.followed) {
        seen += (seen.empty() ? "" : ",") + std::to_string(resumeRevision(followed->mirror).value);
    }
    return {changesPath, {{"qs-node", control.state.self.member.id.value}, {"qs-seen", seen}}, ""};
}

/** How a question ended. */
enum class ask_result
{
    news, ///< There were changes.
    no_news, ///< Nothing has changed.
    refused, ///< The other daemon has not heard of the store lately.
    silent, ///< There was no answer.
};

/** Asks one daemon. */
asio::awaitable<ask_result> askOne(roster_control &control, endpoint at)
{
    const auto askedAt = clock::now();
    auto question = questionOf(control);
    const auto opened = co_await openCall(control.peers, at, std::move(question), connectTimeout);
    if (!opened.call) {
        co_return ask_result::silent;
    }
    const auto reply = co_await readResponse(opened.call, askedAt + longestWait + answerSlack);
    if (!reply) {
        cancelCall(*opened.call);
        co_return ask_result::silent;
    }
    if (reply->status != answered) {
        co_return ask_result::refused;
    }
    last_reason why;
    const auto answer = decodeChanges(reply->body, why);
    if (!answer || answer->updates.size() != control.followed.size()) {
        logEvent(log_level::warn, "changes-unread", {{"peer", toString(at)}, {"reason", describe(why)}});
        co_return ask_result::refused;
    }
    co_return takeAnswer(control, *answer, askedAt) ? ask_result::news : ask_result::no_news;
}

/** Asks the daemons in their order until one answers. */
asio::awaitable<ask_result> askAny(roster_control &control)
{
    const auto upstreams = control.state.listed ? upstreamsOf(control.state) : std::vector<endpoint>();
    if (upstreams.empty()) {
        resumeWatches(control); // This daemon reads for its region now.
    }
    auto &avoided = control.exchange.avoidedUntil;
    for (const auto &at : upstreams) {
        if (avoided.contains(at) && clock::now() < avoided[at]) {
            continue;
        }
        const auto result = co_await askOne(control, at);
        if (result == ask_result::news || result == ask_result::no_news) {
            co_return result;
        }
        const bool silent = result == ask_result::silent;
        logEvent(log_level::info, silent ? "upstream-silent" : "upstream-refused", {{"peer", toString(at)}});
        avoided[at] = clock::now() + (silent ? avoidFor : refusedFor);
    }
    resumeWatches(control);
    co_return ask_result::silent;
}

/** Whether there is a change that the asker does not know. */
bool hasNews(const roster_control &control, const changes_request &request)
{
    for (std::size_t index = 0; index < request.revisions.size(); ++index) {
        if (!changesAfter(control.followed[index]->mirror, request.revisions[index]).changes.empty()) {
            return true;
        }
    }
    return false;
}

/** Waits for a change or until the time is over. */
asio::awaitable<void> awaitChange(roster_control &control)
{
    const auto timer = std::make_shared<asio::steady_timer>(control.context, longestWait);
    control.exchange.waiting.push_back(timer);
    error_code code;
    co_await timer->async_wait(redirectError(code));
    std::erase(control.exchange.waiting, timer);
}

} // namespace

asio::awaitable<void> askForChanges(roster_control &control, std::function<void()> onChange)
{
    for (;;) {
        const auto result = co_await askAny(control);
        if (result == ask_result::silent) {
            co_await sleepFor(nobodyWait);
            continue;
        }
        onChange();
        if (result == ask_result::news) {
            co_await sleepFor(askPause);
        }
    }
}

asio::awaitable<std::optional<changes_response>> answerChanges(roster_control &control, changes_request request)
{
    const auto arrivedAt = clock::now();
    auto &exchange = control.exchange.state;
    exchange.lastRequestAt = arrivedAt;
    if (request.revisions.size() != control.followed.size()) {
        co_return std::nullopt;
    }
    if (!isFresh(exchange, arrivedAt)) {
        if (servesFollowers(exchange, control.state, arrivedAt)) {
            control.state.lease.nextConfirm = std::min(control.state.lease.nextConfirm, arrivedAt);
        }
        co_return std::nullopt;
    }
    if (!hasNews(control, request)) {
        co_await awaitChange(control);
    }
    if (!isFresh(exchange, clock::now())) {
        co_return std::nullopt;
    }
    changes_response answer;
    for (std::size_t index = 0; index < request.revisions.size(); ++index) {
        answer.updates.push_back(changesAfter(control.followed[index]->mirror, request.revisions[index]));
    }
    answer.verifiedOffset = verifiedOffset(exchange, control.state.timing, arrivedAt);
    const auto *entry = findExisting(findFollowed(control, rootPrefix)->mirror, entryKey(request.node));
    answer.entryRevision = entry == nullptr ? revision_number{} : entry->revision;
    answer.watermarkOffset = watermarkOffset(exchange, arrivedAt);
    co_return answer;
}

void wakeWaiting(roster_control &control)
{
    auto &exchange = control.exchange;
    if (std::exchange(exchange.toldVersion, exchange.state.version) == exchange.state.version) {
        return;
    }
    for (const auto &timer : exchange.waiting) {
        timer->cancel();
    }
}

} // namespace quetzalspool
