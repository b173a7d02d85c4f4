/** @file shared_body_http.h A shared body as the body of messages of Boost.Beast. Internal to the packages. */
#ifndef SHARED_BODY_HTTP_H
#define SHARED_BODY_HTTP_H

#include "shared_body.h"

#include <boost/beast/http.hpp>
#include <optional>

namespace quetzalspool {

/** Body type of messages: parsers append to the blocks, and serializers write them without a copy. */
struct shared_body_http
{
    using value_type = shared_body; ///< Type of the body.

    /**
     * Length of a body, for Content-Length.
     * @param body Body.
     * @return Bytes.
     */
    static std::uint64_t size(const value_type &body)
    {
        return body.size();
    }

    /** Appends what is parsed. */
    class reader
    {
    public:
        template <bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> & /*head*/, value_type &into)
            : body(into)
        { }

        void init(const boost::optional<std::uint64_t> & /*length*/, boost::beast::error_code &code)
        {
            code = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers &buffers, boost::beast::error_code &code)
        {
            code = {};
            std::size_t count = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                body.append(static_cast<const char *>(buffer.data()), buffer.size());
                count += buffer.size();
            }
            return count;
        }

        void finish(boost::beast::error_code &code)
        {
            code = {};
        }

    private:
        value_type &body;
    };

    /** Hands out the blocks one by one. */
    class writer
    {
    public:
        using const_buffers_type = boost::asio::const_buffer; ///< One block.

        template <bool isRequest, class Fields>
        writer(const boost::beast::http::header<isRequest, Fields> & /*head*/, const value_type &body)
            : parts(body.parts())
        { }

        void init(boost::beast::error_code &code)
        {
            code = {};
        }

        boost::optional<std::pair<const_buffers_type, bool>> get(boost::beast::error_code &code)
        {
            code = {};
            if (next == parts.size()) {
                return boost::none;
            }
            const auto part = parts[next++];
            return {{const_buffers_type(part.data(), part.size()), next < parts.size()}};
        }

    private:
        std::vector<std::string_view> parts; ///< Blocks.
        std::size_t next = 0; ///< Block that comes next.
    };
};

} // namespace quetzalspool

#endif // SHARED_BODY_HTTP_H
