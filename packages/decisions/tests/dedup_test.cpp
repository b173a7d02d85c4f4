/** @file dedup_test.cpp Random histories of the deduplication table: what is confirmed as cancelled is never handed
 * over.
 */
#include "dedup_func.h"

#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

/** What one attempt has done. */
struct attempt_model
{
    std::string id; ///< Request.
    steady_time deadline{}; ///< Deadline of the request.
    bool registered = false; ///< Whether it was accepted.
    bool handedOver = false; ///< Whether it may have run.
    bool refusedByTarget = false; ///< Whether the target stated after the hand-over that it did not run.
    bool confirmed = false; ///< Whether its cancellation was confirmed.
    steady_time cancelledAt{}; ///< When it was first confirmed.
};

} // namespace

TEST(dedup, confirmedAttemptsAreNeverHandedOverAndNoOrderRunsTwiceInRandomHistories)
{
    constexpr unsigned seed = 20261206;
    std::cout << "seed " << seed << "\n";
    std::mt19937 random(seed);
    int confirmedCount = 0;
    int ranCount = 0;
    for (int round = 0; round < 400; ++round) {
        dedup_state dedup;
        dedup.capacity = round % 4 == 0 ? 6 : 1000;
        steady_time now{std::chrono::hours(1)};
        std::map<std::string, attempt_model> attempts;
        std::vector<std::string> tokens;
        for (int step = 0; step < 300; ++step) {
            now += milliseconds(random() % 20 == 0 ? random() % 90000 : random() % 500);
            if (tokens.empty() || random() % 4 == 0) {
                const auto token = "t" + std::to_string(tokens.size());
                const auto patience = random() % 3 == 0 ? seconds(random() % 600) : seconds(3);
                attempts[token] = {"id" + std::to_string(random() % 8), now + patience};
                tokens.push_back(token);
            }
            const auto &token = tokens[tokens.size() - 1 - random() % std::min<std::size_t>(tokens.size(), 6)];
            auto &attempt = attempts[token];
            // The sender believes no later cancellation, and no message arrives as late after one.
            const bool late = now >= attempt.deadline + dedup.retention;
            const bool lost = attempt.confirmed && now >= attempt.cancelledAt + dedup.retention;
            switch (random() % 4) {
            case 0:
                if (!attempt.registered && !lost && now < attempt.deadline) {
                    attempt.registered =
                        registerAttempt(dedup, attempt.id, token, now, attempt.deadline) == dedup_result::accepted;
                }
                break;
            case 1:
                if (attempt.registered && !attempt.handedOver && now < attempt.deadline) {
                    attempt.handedOver = advanceAttempt(dedup, attempt.id, token, dedup_stage::handed_over);
                    ranCount += attempt.handedOver ? 1 : 0;
                    EXPECT_FALSE(attempt.handedOver && attempt.confirmed) << "round " << round << " " << token;
                }
                break;
            case 2:
                if (!late) {
                    const bool confirmed = cancelAttempt(dedup, attempt.id, token, now);
                    EXPECT_FALSE(confirmed && attempt.handedOver && !attempt.refusedByTarget)
                        << "round " << round << " " << token;
                    confirmedCount += confirmed ? 1 : 0;
                    attempt.cancelledAt = confirmed && !attempt.confirmed ? now : attempt.cancelledAt;
                    attempt.confirmed = attempt.confirmed || confirmed;
                }
                break;
            default:
                if (attempt.handedOver && random() % 3 == 0) {
                    const bool refused = random() % 2 == 0;
                    const bool known = advanceAttempt(dedup, attempt.id, token,
                                                      refused ? dedup_stage::refused : dedup_stage::answered);
                    attempt.refusedByTarget = attempt.refusedByTarget || (known && refused);
                }
            }
            std::map<std::string, int> running;
            for (const auto &[name, one] : attempts) {
                running[one.id] +=
                    one.handedOver && !one.refusedByTarget && now < one.deadline + dedup.retention ? 1 : 0;
            }
            for (const auto &[id, count] : running) {
                EXPECT_LE(count, 1) << "round " << round << " " << id;
            }
        }
    }
    std::cout << "figure: confirmed " << confirmedCount << ", handed over " << ranCount << "\n";
}

} // namespace quetzalspool::test
