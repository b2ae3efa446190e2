#include "libperidotreach/routing/table_freshness.h"

#include <algorithm>

namespace peridotreach {
namespace {

// Adds a confirmation and keeps the newest ones of different processes.
void add_confirmation(std::vector<TableConfirmation>& newest,
                      const TableConfirmation& added) {
  const auto known = std::find_if(
      newest.begin(), newest.end(),
      [&](const TableConfirmation& entry) { return entry.vm == added.vm; });
  if (known != newest.end()) {
    known->at = std::max(known->at, added.at);
  } else {
    newest.push_back(added);
  }
  std::stable_sort(newest.begin(), newest.end(),
                   [](const TableConfirmation& a, const TableConfirmation& b) {
                     return a.at > b.at;
                   });
  if (newest.size() > kReportedConfirmations) newest.pop_back();
}

}  // namespace

void record_own_call(TableFreshness& freshness, bool succeeded, Millis now) {
  freshness.own_at = succeeded ? now : 0;
}

void record_confirmation(TableFreshness& freshness, const std::string& self,
                         const TableConfirmation& confirmation) {
  if (confirmation.vm == self) return;
  add_confirmation(freshness.by_peers, confirmation);
}

std::vector<TableConfirmation> newest_confirmations(
    const TableFreshness& freshness, const std::string& self) {
  std::vector<TableConfirmation> newest = freshness.by_peers;
  if (freshness.own_at != 0) add_confirmation(newest, {self, freshness.own_at});
  return newest;
}

Millis confirmed_by_peers_at(const TableFreshness& freshness) {
  return freshness.by_peers.empty() ? 0 : freshness.by_peers.front().at;
}

Millis confirmed_at(const TableFreshness& freshness) {
  return std::max(freshness.own_at, confirmed_by_peers_at(freshness));
}

bool is_confirmed_by_peers(const TableFreshness& freshness, Millis max_age,
                           Millis now) {
  const Millis confirmed_at = confirmed_by_peers_at(freshness);
  return confirmed_at != 0 && now - confirmed_at <= max_age;
}

bool has_to_read_store(const TableFreshness& freshness, Millis max_age,
                       Millis now) {
  const Millis up_to_date_at = freshness.by_peers.empty()
                                   ? freshness.first_served_at
                                   : confirmed_by_peers_at(freshness);
  return up_to_date_at == 0 || now - up_to_date_at > max_age;
}

bool is_store_in_reach(const TableFreshness& freshness, Millis max_age,
                       Millis now) {
  return is_confirmed_by_peers(freshness, max_age, now) ||
         (freshness.own_at != 0 &&
          freshness.own_at > confirmed_by_peers_at(freshness));
}

}  // namespace peridotreach
