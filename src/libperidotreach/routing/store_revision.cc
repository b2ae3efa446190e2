#include "libperidotreach/routing/store_revision.h"

namespace peridotreach {

std::string format_revision(const StoreRevision& revision) {
  return std::to_string(revision.era) + "." + std::to_string(revision.number);
}

}  // namespace peridotreach
