#pragma once

// Requests and responses as handlers see them, independent of the HTTP library.

#include <map>
#include <string>
#include <vector>

namespace peridotreach {

// A header field.
struct HttpHeader {
  std::string name;
  std::string value;
};

// A received request. Header names are in lowercase; `path` excludes the query.
// Of several fields or parameters of one name, the last one is kept.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;

  // Returns the value of header `name` (in lowercase), or an empty string.
  std::string header(const std::string& name) const;

  // Returns the decoded query parameter `name`, or an empty string.
  std::string parameter(const std::string& name) const;
};

// A response that is sent in one piece.
struct HttpResponse {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::vector<HttpHeader> headers;
  std::string body;
};

// Splits a request target into the path and query of `request`. Query names
// and values are percent-decoded, the path is not.
void split_target(const std::string& target, HttpRequest& request);

// Returns `text` with its percent escapes decoded.
std::string percent_decode(const std::string& text);

}  // namespace peridotreach
