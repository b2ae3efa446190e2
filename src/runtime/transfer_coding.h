#pragma once

// Checks the transfer coding of HTTP messages.

#include <boost/beast/http/fields.hpp>

namespace peridotreach {

// Returns whether the message has no transfer coding or is in chunks. The body
// of any other one is of unknown length or encoded.
bool has_known_transfer_coding(const boost::beast::http::fields& headers);

}  // namespace peridotreach
