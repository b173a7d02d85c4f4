/** @file datagrams.cpp UDP socket for datagrams between daemons. */
#include "datagrams.h"

#include "log_func.h"

namespace quetzalspool {

bool bindDatagrams(udp::socket &socket, const daemon_settings &settings, last_reason &why)
{
    const auto at = toAsioEndpoint<udp>({settings.host, settings.peersPort});
    error_code code;
    socket.open(at.protocol(), code);
    if (!code) {
        socket.bind(at, code);
    }
    if (code) {
        failed(why, "bind the control socket", settings.host + ":" + std::to_string(settings.peersPort),
               code.message());
    }
    return !code;
}

asio::awaitable<void> receiveDatagrams(udp::socket &socket, std::span<char> buffer, datagram_handler handler)
{
    for (;;) {
        udp::endpoint from;
        error_code code;
        const auto length =
            co_await socket.async_receive_from(asio::buffer(buffer.data(), buffer.size()), from, redirectError(code));
        if (code == asio::error::operation_aborted || !socket.is_open()) {
            co_return;
        }
        if (code) {
            logEvent(log_level::debug, "bad-datagram", {{"reason", code.message()}});
            continue;
        }
        handler({buffer.data(), length}, from);
    }
}

} // namespace quetzalspool
