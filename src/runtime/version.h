#pragma once

// The version that programs print with --version.

namespace peridotreach {

inline constexpr const char* kVersion = "0.1.0";

}  // namespace peridotreach
