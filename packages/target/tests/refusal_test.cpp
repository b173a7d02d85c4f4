/** @file refusal_test.cpp Which responses of a target prove that the current request did not run, and what they say
 * about the target. */
#include "elapsed_clock.h"
#include "http_server.h"
#include "target_func.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <map>

namespace quetzalspool::test {

namespace {

using std::chrono::seconds;

const target_rules echoing{"X-Not-Run", "X-Id", false};

/** Serves one connection: sends one of the responses after each request. */
asio::awaitable<void> respondInOrder(std::shared_ptr<tcp::acceptor> acceptor, std::vector<std::string> responses)
{
    error_code code;
    auto socket = co_await acceptor->async_accept(redirectError(code));
    std::string received;
    for (const auto &response : responses) {
        const auto length =
            co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", redirectError(code));
        received.erase(0, length);
        co_await asio::async_write(socket, asio::buffer(response), redirectError(code));
    }
    co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", redirectError(code));
}

/** Sends requests with these ids to a target that serves connections one after the other, each with its responses.
 * Returns the head that the last one got. */
std::optional<target_head> lastHeadOf(const target_rules &rules, std::vector<std::string> ids,
                                      std::vector<std::vector<std::string>> connections)
{
    asio::io_context context{1};
    last_reason why;
    std::optional<target_head> head;
    auto acceptor = std::make_shared<tcp::acceptor>(*listenOn(context, {"127.0.0.1", 0}, why));
    const endpoint at{"127.0.0.1", acceptor->local_endpoint().port()};
    for (auto &responses : connections) {
        asio::co_spawn(context, respondInOrder(acceptor, std::move(responses)), asio::detached);
    }
    const auto work = [&]() -> asio::awaitable<void> {
        const auto client = makeTargetClient(rules);
        for (const auto &id : ids) {
            const auto exchange = co_await openTarget(client, at, id, seconds(3), seconds(1), why);
            http_request request{"POST", "/", {}, ""};
            if (!id.empty()) {
                request.headers.emplace_back("X-Id", id);
            }
            const auto deadline = elapsed_clock::now() + seconds(1);
            co_await sendToTarget(exchange, request, deadline, why);
            head = co_await readTargetHead(exchange, deadline, why);
            if (head) {
                co_await readTargetPart(exchange, deadline, why);
            }
            closeTarget(*client, exchange);
        }
        context.stop();
    };
    asio::co_spawn(context, work, asio::detached);
    context.run_for(seconds(5));
    return head;
}

/** The same over one connection, as far as it is kept. */
std::optional<target_head> lastHead(const target_rules &rules, std::vector<std::string> ids,
                                    std::vector<std::string> responses)
{
    return lastHeadOf(rules, std::move(ids), {std::move(responses)});
}

std::string response(const std::string &status, const std::string &headers)
{
    return "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: 0\r\n\r\n";
}

const std::string firstAnswer = response("200", "X-Id: one\r\n");

} // namespace

TEST(refusal, oneThatNamesTheRequestIsBelievedOnAReusedConnection)
{
    const auto head =
        lastHead(echoing, {"one", "two"}, {firstAnswer, response("503", "X-Id: two\r\nX-Not-Run: 1\r\n")});
    ASSERT_TRUE(head.has_value());
    EXPECT_EQ(head->notRun, "1");
}

TEST(refusal, oneThatNamesAnotherRequestProvesNothing)
{
    for (const std::string status : {"503", "421"}) {
        const auto late = response(status, "X-Id: one\r\nX-Not-Run: 1\r\n");
        EXPECT_FALSE(lastHead(echoing, {"one", "two"}, {firstAnswer, late}).has_value()) << status;
        EXPECT_FALSE(lastHead(echoing, {"two"}, {late}).has_value()) << status << " on a new connection";
    }
}

TEST(refusal, oneThatNamesNoRequestProvesNothingOnAReusedConnection)
{
    EXPECT_FALSE(lastHead(echoing, {"one", "two"}, {firstAnswer, response("503", "X-Not-Run: 1\r\n")}).has_value());
    EXPECT_FALSE(lastHead(echoing, {"one", "two"}, {firstAnswer, response("421", "")}).has_value());
    const auto first = lastHead(echoing, {"one"}, {response("421", "")});
    ASSERT_TRUE(first.has_value()) << "no other request was sent on this connection";
    EXPECT_FALSE(first->notRun.empty());
}

// Guards against statuses that no caller can interpret, which HTTP does not define as final responses.
TEST(status, onlyFinalResponsesOfDefinedClassesArePassedOn)
{
    for (const std::string status :
         {"000", "099", "100", "101", "199", "600", "999", "2", "20", "0200", "2000", "2x0"}) {
        EXPECT_FALSE(lastHead(echoing, {"one"}, {response(status, "X-Id: one\r\n")}).has_value()) << status;
    }
    for (const std::string status : {"200", "299", "404", "500", "599"}) {
        const auto head = lastHead(echoing, {"one"}, {response(status, "X-Id: one\r\n")});
        ASSERT_TRUE(head.has_value()) << status;
        EXPECT_EQ(std::to_string(head->status), status);
    }
}

// Guards against coldness that is not heard of, and against text that is taken for it.
TEST(notice, theTimeForWhichTheTargetIsColdIsAWholeNumberOfMilliseconds)
{
    target_rules rules = echoing;
    rules.cold = "X-Cold";
    const auto coldFor = [&](const std::string &headers) {
        const auto head = lastHead(rules, {"one"}, {response("200", "X-Id: one\r\n" + headers)});
        return head ? head->notice.coldFor : milliseconds(-1);
    };
    EXPECT_EQ(coldFor("X-Cold: 1200\r\n"), milliseconds(1200));
    for (const std::string text : {"", "-5", "soon", "1.5", "99999999999"}) {
        EXPECT_EQ(coldFor("X-Cold: " + text + "\r\n"), milliseconds(0)) << text;
    }
    EXPECT_EQ(coldFor(""), milliseconds(0));
}

// A refused request is sent again under the same id, and the target may execute it then.
TEST(refusal, aSecondCopyOfAnEarlierRefusalProvesNothingForTheSameRequestSentAgain)
{
    const auto refusal = response("503", "X-Id: one\r\nX-Not-Run: 1\r\n");
    const auto answer = response("200", "X-Id: one\r\n");
    const auto between = response("200", "X-Id: two\r\n");
    for (const auto &[ids, first] : std::vector<std::pair<std::vector<std::string>, std::vector<std::string>>>{
             {{"one", "one"}, {refusal, refusal}}, {{"one", "two", "one"}, {refusal, between, refusal}}}) {
        const auto head = lastHeadOf(echoing, ids, {first, {answer}});
        ASSERT_TRUE(head.has_value());
        EXPECT_EQ(head->status, 200U) << "sent on a connection that has not refused it";
    }
}

TEST(refusal, oneThatNamesARequestProvesNothingForARequestWithoutAnId)
{
    const auto late = response("503", "X-Id: one\r\nX-Not-Run: 1\r\n");
    EXPECT_FALSE(lastHead(echoing, {"one", ""}, {firstAnswer, late}).has_value());
}

TEST(refusal, targetsWithoutIdsAreTrustedToRespondInOrder)
{
    const target_rules plain{"X-Not-Run", "", false};
    const auto head = lastHead(plain, {"", ""}, {response("200", ""), response("503", "X-Not-Run: 1\r\n")});
    ASSERT_TRUE(head.has_value());
    EXPECT_EQ(head->notRun, "1");
}

TEST(notice, aRateLimitIsADecimalNumberThatIsNotNegative)
{
    target_rules rules = echoing;
    rules.limit = "X-Limit";
    const auto noticeOf = [&](const std::string &headers) {
        const auto head = lastHead(rules, {"one"}, {response("200", "X-Id: one\r\n" + headers)});
        return head ? head->notice : target_notice{};
    };
    EXPECT_EQ(noticeOf("").limit, limit_statement::absent);
    for (const std::string text : {"", "-1", "none", "nan", "inf", "1e999", "12 a second", "0x10", "1,5"}) {
        EXPECT_EQ(noticeOf("X-Limit: " + text + "\r\n").limit, limit_statement::unreadable) << text;
    }
    for (const auto &[text, limit] : std::map<std::string, double>{{"0", 0}, {"14.8", 14.8}, {"1e6", 1e6}, {"3", 3}}) {
        const auto notice = noticeOf("X-Limit: " + text + "\r\n");
        EXPECT_EQ(notice.limit, limit_statement::named) << text;
        EXPECT_EQ(notice.requestsPerSecond, limit) << text;
    }
}

TEST(notice, anyResponseThatIsPassedOnCountsButOnlyOneOfThisRequestShowsThatThereIsNoLimit)
{
    target_rules rules = echoing;
    rules.limit = "X-Limit";
    rules.leaving = "X-Leaving";
    const auto unnamed =
        lastHead(rules, {"one", "two"}, {firstAnswer, response("200", "X-Limit: 3\r\nX-Leaving: 1\r\n")});
    ASSERT_TRUE(unnamed.has_value());
    EXPECT_EQ(unnamed->notice.limit, limit_statement::named);
    EXPECT_TRUE(unnamed->notice.leaving);
    EXPECT_FALSE(unnamed->notice.succeeded) << "it may be a late response to the first request";
    EXPECT_TRUE(lastHead(rules, {"one"}, {firstAnswer})->notice.succeeded);
    const auto refused = lastHead(rules, {"one"}, {response("503", "X-Id: one\r\nX-Not-Run: 1\r\nX-Leaving: 0\r\n")});
    EXPECT_FALSE(refused->notice.succeeded);
    EXPECT_FALSE(refused->notice.leaving);
}

TEST(refusal, aStatusAloneIsNoRefusalExceptMisdirected)
{
    for (const std::string status : {"408", "429", "503", "504"}) {
        const auto head = lastHead(echoing, {"one"}, {response(status, "X-Id: one\r\n")});
        ASSERT_TRUE(head.has_value());
        EXPECT_TRUE(head->notRun.empty()) << status;
    }
}

// A load that can't be read must not spoil the rest of what a response says.
TEST(notice, aStatedLoadIsReadOnlyIfTheRulesNameItsHeader)
{
    target_rules rules = echoing;
    const auto noticeOf = [&](const std::string &headers) {
        const auto head = lastHead(rules, {"one"}, {response("200", "X-Id: one\r\n" + headers)});
        return head ? head->notice : target_notice{};
    };
    EXPECT_FALSE(noticeOf("X-Load: 3,1,8,250\r\n").load);
    rules.load = "X-Load";
    EXPECT_FALSE(noticeOf("").load);
    EXPECT_FALSE(noticeOf("X-Load: busy\r\n").load);
    EXPECT_TRUE(noticeOf("X-Load: busy\r\n").succeeded);
    const auto stated = noticeOf("X-Load: 3,1,8,250\r\n").load;
    ASSERT_TRUE(stated);
    EXPECT_EQ(stated->workPercent, 250U);
}

} // namespace quetzalspool::test
