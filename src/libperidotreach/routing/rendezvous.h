#pragma once

// Rendezvous hashing: processes that know the same candidates choose the same
// one without talking to each other.

#include <cstdint>
#include <string>

namespace peridotreach {

// Returns the weight of a VM for `subject`; the candidate with the highest one
// is chosen.
std::uint64_t rendezvous_weight(const std::string& vm,
                                const std::string& subject);

}  // namespace peridotreach
