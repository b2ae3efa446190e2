#pragma once

// Boost.Asio includes and the aliases that the runtime uses.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridotreach {

namespace asio = boost::asio;
using boost::asio::awaitable;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

}  // namespace peridotreach
