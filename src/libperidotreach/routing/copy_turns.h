#pragma once

// Turns at copying memory off an endpoint. Copies share the endpoint's link,
// so one after another each is done sooner than side by side. One process
// keeps the turns of an endpoint; they are advice, nothing breaks if two do.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// A process's wish to copy one generation's memory off an endpoint.
struct CopyTurn {
  std::string peer;
  std::uint64_t request = 0;

  bool operator==(const CopyTurn&) const = default;
};

// Turns at one endpoint.
struct EndpointTurns {
  std::optional<CopyTurn> holder;
  Millis held_since = 0;
  std::deque<CopyTurn> waiting;

  bool operator==(const EndpointTurns&) const = default;
};

// Turns by endpoint.
struct TurnBook {
  std::map<std::string, EndpointTurns> endpoints;

  bool operator==(const TurnBook&) const = default;
};

// A turn that may be taken now.
struct GrantedTurn {
  std::string endpoint;
  CopyTurn turn;

  bool operator==(const GrantedTurn&) const = default;
};

// Takes or renews a wish. Returns whether it holds the turn now.
bool ask_turn(TurnBook& book, const std::string& endpoint, const CopyTurn& turn,
              Millis now);

// Ends a turn or withdraws a wish. Returns the next turn, if there is one.
std::optional<GrantedTurn> end_turn(TurnBook& book, const std::string& endpoint,
                                    const CopyTurn& turn, Millis now);

// Ends turns that are held too long, as their holder may be gone.
std::vector<GrantedTurn> expire_turns(TurnBook& book, Millis now);

}  // namespace peridotreach
