#pragma once

// Reading of the header of an HTTP message within a limit. Boost.Beast's limit
// holds for the bytes that its parser is given at once, not for their sum.

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>

#include "runtime/asio.h"

namespace peridotreach {

// Bytes read at once of a header.
inline constexpr std::size_t kHeaderReadBytes = 4096;

// Gives what has arrived to `parser`, whose header is not complete. Adds what
// it takes to `header_bytes`; more than `max_header_bytes` are an error.
// Returns need_more if the header goes on.
template <class Parser>
error_code put_header(Parser& parser, boost::beast::flat_buffer& buffer,
                      std::size_t& header_bytes, std::size_t max_header_bytes) {
  error_code failed;
  const std::size_t used = parser.put(buffer.data(), failed);
  buffer.consume(used);
  header_bytes += used;
  if (header_bytes > max_header_bytes)
    return boost::beast::http::error::header_limit;
  return failed;
}

// Reads until the header is complete, and possibly the bytes that follow it
// into `buffer`. The stream's time limit applies.
template <class Parser>
awaitable<error_code> read_header(boost::beast::tcp_stream& stream,
                                  boost::beast::flat_buffer& buffer,
                                  Parser& parser,
                                  std::size_t max_header_bytes) {
  namespace http = boost::beast::http;
  parser.eager(false);
  std::size_t header_bytes = 0;
  while (!parser.is_header_done()) {
    error_code failed;
    if (buffer.size() > 0) {
      failed = put_header(parser, buffer, header_bytes, max_header_bytes);
      if (failed && failed != http::error::need_more) co_return failed;
      if (!failed) continue;
    }
    if (buffer.size() + kHeaderReadBytes > buffer.max_size())
      co_return http::error::buffer_overflow;
    const std::size_t bytes_read = co_await stream.async_read_some(
        buffer.prepare(kHeaderReadBytes),
        asio::redirect_error(asio::use_awaitable, failed));
    buffer.commit(bytes_read);
    if (failed == asio::error::eof) {
      co_return parser.got_some() ? http::error::partial_message
                                  : http::error::end_of_stream;
    }
    if (failed) co_return failed;
  }
  co_return error_code();
}

}  // namespace peridotreach
