/** @file asio_type.h Short names for the parts of Asio that coroutines use, and helpers for them. */
#ifndef ASIO_TYPE_H
#define ASIO_TYPE_H

#include "base_type.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace quetzalspool {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;
using boost::system::error_code;

/**
 * Makes a completion token for coroutines that stores the error code instead of throwing.
 * @param code Receives the error.
 * @return The completion token.
 */
inline auto redirectError(error_code &code)
{
    return asio::redirect_error(asio::use_awaitable, code);
}

/**
 * Suspends the coroutine.
 * @param span Duration.
 * @return An awaitable.
 */
inline asio::awaitable<void> sleepFor(milliseconds span)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, span);
    error_code code;
    co_await timer.async_wait(redirectError(code));
}

/**
 * Converts an endpoint to Asio's type. Does not resolve host names.
 * @param at Endpoint with an IP address.
 * @return Address and port; the address is unspecified if the host is not an IP address.
 */
template <typename Protocol>
typename Protocol::endpoint toAsioEndpoint(const endpoint &at)
{
    error_code code;
    return {asio::ip::make_address(at.host, code), at.port};
}

} // namespace quetzalspool

#endif // ASIO_TYPE_H
