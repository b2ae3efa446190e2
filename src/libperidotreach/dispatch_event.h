#pragma once

// Events of the dispatch reducer: reports of entries and endpoints, and changes
// of the fleet view, the configuration and the time.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libperidotreach/endpoint_load.h"
#include "libperidotreach/fleet_config.h"
#include "libperidotreach/fleet_view.h"
#include "libperidotreach/queued_request.h"
#include "libperidotreach/variant_inspect.h"

namespace peridotreach {

// A batch of changes from an entry. `full` states that it lists all requests of
// the entry. `dropped` holds numbers of requests that the entry no longer has.
struct EntryReported {
  std::string vm;
  std::uint64_t incarnation = 0;
  bool full = false;
  std::vector<QueuedRequest> enqueue;
  std::vector<RunProgress> progress;
  std::vector<std::uint64_t> dropped;
};

// A load report of a watched endpoint.
struct LoadReported {
  std::string endpoint;
  EndpointLoad load;
};

// Prefix cache events of a watched endpoint. A jump in `sequence` means that
// events were lost.
struct CacheReported {
  std::string endpoint;
  std::uint64_t sequence = 0;
  std::vector<std::uint64_t> added;
  std::vector<std::uint64_t> removed;
};

// The connection to a watched endpoint was lost. `crashed` is set if the
// endpoint refuses or does not answer a new connection.
struct EndpointDown {
  std::string endpoint;
  bool crashed = false;
};

// A new view of the fleet.
struct DispatchViewChanged {
  FleetView view;
};

// A new configuration.
struct DispatchConfigChanged {
  FleetConfig config;
};

// A timer tick.
struct DispatchTicked {
  std::uint8_t unused = 0;
};

// One event and its time.
struct DispatchEvent {
  Millis at = 0;
  std::variant<DispatchTicked, EntryReported, LoadReported, CacheReported,
               EndpointDown, DispatchViewChanged, DispatchConfigChanged>
      body;
};

template <class F>
auto inspect(F& f, EntryReported& x) {
  return f(x.vm, x.incarnation, x.full, x.enqueue, x.progress, x.dropped);
}
template <class F>
auto inspect(F& f, LoadReported& x) {
  return f(x.endpoint, x.load);
}
template <class F>
auto inspect(F& f, CacheReported& x) {
  return f(x.endpoint, x.sequence, x.added, x.removed);
}
template <class F>
auto inspect(F& f, EndpointDown& x) {
  return f(x.endpoint, x.crashed);
}
template <class F>
auto inspect(F& f, DispatchViewChanged& x) {
  return f(x.view);
}
template <class F>
auto inspect(F& f, DispatchConfigChanged& x) {
  return f(x.config);
}
template <class F>
auto inspect(F& f, DispatchTicked& x) {
  return f(x.unused);
}
template <class F>
auto inspect(F& f, DispatchEvent& x) {
  auto head = f(x.at);
  if constexpr (!F::reads_state) {
    if (head) return head;
  }
  return inspect_variant(f, x.body);
}

}  // namespace peridotreach
