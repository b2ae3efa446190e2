#pragma once

// Which engines are asked whether they leave, because the store may not bring
// their notices. An engine that leaves on short notice is gone before a silent
// store counts as lost.

#include <optional>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

struct RoutingState;

// Age of the newest confirmation of the tables from which notices may be
// missing. Two watchers confirm them every 500 ms each and relays pass that on
// within 250 ms; the shortest notices are 1.4 s.
inline constexpr Millis kMaxConfirmationAgeForNotices = 700;

// How long after an endpoint of a service has left others of it are expected to
// leave.
inline constexpr Millis kNoticesExpectedFor = 30 * kSecond;

// What a process knows of the way by which notices arrive.
struct NoticeDelivery {
  // No live process reaches the store.
  bool store_unreachable = false;
  // Age of the newest confirmation of the tables; none if there was none.
  std::optional<Millis> confirmation_age;

  bool operator==(const NoticeDelivery&) const = default;
};

// Answers in a row that close the connection from which an engine counts as
// leaving. Single answers of others do so now and then.
inline constexpr int kClosedAnswersOfLeaving = 3;

// An engine's answer to the question whether it leaves.
struct PollAnswer {
  // The state in its report, which is some hundred milliseconds old.
  bool says_leaving = false;
  // The head of the answer, which is not delayed: an engine that leaves closes
  // its connections.
  bool closes_connection = false;

  bool operator==(const PollAnswer&) const = default;
};

// What follows from an answer.
enum class PollResult { kStays, kAskAgain, kLeaves };

// Returns what follows from the newest of `answers_in_a_row` answers, the
// earlier of which closed the connection.
PollResult poll_result(const PollAnswer& answer, int answers_in_a_row);

// Returns the engines in use that are to be asked now. While the store's loss
// is only suspected, these are engines of services whose endpoints leave.
std::vector<std::string> engines_to_ask(const RoutingState& state,
                                        const NoticeDelivery& delivery);

}  // namespace peridotreach
