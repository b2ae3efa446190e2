#include "peridot-caller/token_check.h"

#include <charconv>

namespace peridotreach {

void check_token(TokenCheck& check, const std::string& text) {
  const std::size_t dot = text.find('.');
  std::int64_t index = -1;
  const char* begin = text.data() + 1;
  const char* end = text.data() + text.size();
  const bool parsed = dot != std::string::npos && text.front() == 't' &&
                      std::from_chars(begin, end, index).ec == std::errc();
  if (!parsed || index != check.next_index) check.out_of_order_tokens += 1;
  check.next_index = index + 1;
  if (dot == std::string::npos) return;
  const std::string generation = text.substr(dot + 1);
  if (check.generation.empty()) check.generation = generation;
  if (generation != check.generation) check.generation_mismatches += 1;
}

}  // namespace peridotreach
