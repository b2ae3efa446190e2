#pragma once

// Requests and responses as programs see them, apart from the HTTP library.

#include <map>
#include <string>
#include <vector>

namespace peridotreach {

// One header field.
struct HttpHeader {
  std::string name;
  std::string value;
};

// A request. Header names are in lowercase; `path` excludes the query.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;

  // Returns the header `name` (in lowercase), empty if absent.
  std::string header(const std::string& name) const;

  // Returns the query parameter `name`, empty if absent.
  std::string parameter(const std::string& name) const;
};

// A whole response.
struct HttpResponse {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::vector<HttpHeader> headers;
  std::string body;
};

// Splits a request target into path and query.
void split_target(const std::string& target, HttpRequest& request);

// Returns `text` with percent escapes decoded.
std::string percent_decode(const std::string& text);

}  // namespace peridotreach
