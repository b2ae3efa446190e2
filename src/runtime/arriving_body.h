#pragma once

// A body of an HTTP message for Boost.Beast that takes memory for what has
// arrived only. Beast's string body reserves the length that the sender
// declares.

#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "runtime/asio.h"

namespace peridotreach {

// Meets the Body requirements of Boost.Beast for reading.
struct ArrivingBody {
  using value_type = std::string;

  // Appends what the parser passes on.
  class Reader {
   public:
    template <bool is_request, class Fields>
    Reader(boost::beast::http::header<is_request, Fields>&, value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>&, error_code& failed) {
      failed = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, error_code& failed) {
      failed = {};
      std::size_t size = 0;
      for (auto part = asio::buffer_sequence_begin(buffers);
           part != asio::buffer_sequence_end(buffers); ++part) {
        const asio::const_buffer bytes(*part);
        body_.append(static_cast<const char*>(bytes.data()), bytes.size());
        size += bytes.size();
      }
      return size;
    }

    void finish(error_code& failed) { failed = {}; }

   private:
    value_type& body_;
  };

  // The name that Boost.Beast requires.
  using reader = Reader;
};

}  // namespace peridotreach
