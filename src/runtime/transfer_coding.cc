#include "runtime/transfer_coding.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

namespace peridotreach {

bool has_known_transfer_coding(const boost::beast::http::fields& headers) {
  constexpr auto kName = boost::beast::http::field::transfer_encoding;
  const std::size_t codings = headers.count(kName);
  if (codings == 0) return true;
  return codings == 1 && boost::beast::iequals(headers[kName], "chunked");
}

}  // namespace peridotreach
