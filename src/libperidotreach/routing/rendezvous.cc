#include "libperidotreach/routing/rendezvous.h"

#include <xxhash.h>

namespace peridotreach {

std::uint64_t rendezvous_weight(const std::string& vm,
                                const std::string& subject) {
  const std::string input = vm + "/" + subject;
  return XXH3_64bits(input.data(), input.size());
}

}  // namespace peridotreach
