#include "runtime/http_types.h"

#include <cstddef>
#include <cstdlib>

namespace peridotreach {
namespace {

std::string find_or_empty(const std::map<std::string, std::string>& values,
                          const std::string& name) {
  const auto found = values.find(name);
  return found == values.end() ? std::string() : found->second;
}

}  // namespace

std::string HttpRequest::header(const std::string& name) const {
  return find_or_empty(headers, name);
}

std::string HttpRequest::parameter(const std::string& name) const {
  return find_or_empty(query, name);
}

std::string percent_decode(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%' || i + 2 >= text.size()) {
      decoded += text[i];
      continue;
    }
    const std::string hex = text.substr(i + 1, 2);
    decoded += static_cast<char>(std::strtol(hex.c_str(), nullptr, 16));
    i += 2;
  }
  return decoded;
}

void split_target(const std::string& target, HttpRequest& request) {
  const std::size_t question_mark = target.find('?');
  request.path = target.substr(0, question_mark);
  if (question_mark == std::string::npos) return;
  std::size_t start = question_mark + 1;
  while (start < target.size()) {
    std::size_t end = target.find('&', start);
    if (end == std::string::npos) end = target.size();
    const std::string pair = target.substr(start, end - start);
    const std::size_t equal = pair.find('=');
    const std::string name = pair.substr(0, equal);
    const std::string value =
        equal == std::string::npos ? "" : pair.substr(equal + 1);
    request.query[percent_decode(name)] = percent_decode(value);
    start = end + 1;
  }
}

}  // namespace peridotreach
