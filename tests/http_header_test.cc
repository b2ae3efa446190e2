// Tests of the limit on the header of an HTTP message.

#include "runtime/http_header.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>
#include <cstddef>
#include <string>

namespace peridotreach {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kLimit = 1024;

// Returns how a header that is this long ends if it arrives in such pieces.
error_code read_pieces(const std::string& header, std::size_t piece) {
  http::request_parser<http::string_body> parser;
  parser.header_limit(kLimit);
  parser.eager(false);
  boost::beast::flat_buffer buffer;
  std::size_t header_bytes = 0;
  error_code failed = http::error::need_more;
  for (std::size_t at = 0; at < header.size(); at += piece) {
    const std::string bytes = header.substr(at, piece);
    buffer.commit(
        asio::buffer_copy(buffer.prepare(bytes.size()), asio::buffer(bytes)));
    failed = put_header(parser, buffer, header_bytes, kLimit);
    if (failed != http::error::need_more) return failed;
  }
  return failed;
}

TEST_CASE("a header has a limit however it arrives", "[memory]") {
  const std::string begin = "POST / HTTP/1.1\r\n";
  const std::string end = "\r\n";
  for (std::size_t piece = 1; piece <= 2 * kLimit; ++piece) {
    std::string lines;
    while (begin.size() + lines.size() + 16 + end.size() <= kLimit)
      lines += "A-B: 123456789\r\n";
    std::string longest = begin;
    longest.append(lines).append(end);
    longest.insert(begin.size() + 5, kLimit - longest.size(), '0');
    REQUIRE(longest.size() == kLimit);
    CHECK_FALSE(read_pieces(longest, piece));
    std::string endless = begin;
    endless.append(lines).append(lines).append(lines);
    CHECK(read_pieces(endless, piece) == http::error::header_limit);
  }
}

}  // namespace
}  // namespace peridotreach
