#include "peridot-caller/summary.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdio>

namespace peridotreach {
namespace {

namespace json = boost::json;

// Totals and samples of one group of requests.
struct GroupTotals {
  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t tokens = 0;
  std::uint64_t good_tokens = 0;
  std::uint64_t reconnects = 0;
  std::uint64_t out_of_order_tokens = 0;
  std::uint64_t generation_mismatches = 0;
  std::uint64_t false_not_run_claims = 0;
  double stall_ms = 0;
  std::vector<float> first_token_ms;
  std::vector<float> token_gaps_ms;
  std::map<std::string, std::uint64_t> refused;
};

// Returns the value at the rank of `fraction` (0 to 1), rounded down. Reorders
// `values`.
double percentile(std::vector<float>& values, double fraction) {
  if (values.empty()) return 0;
  const auto index = static_cast<std::size_t>(
      fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

void add_record(GroupTotals& group, const RequestRecord& record,
                double deadline) {
  group.offered += 1;
  group.tokens += record.tokens;
  group.reconnects += record.reconnects;
  group.out_of_order_tokens += record.out_of_order_tokens;
  group.generation_mismatches += record.generation_mismatches;
  group.false_not_run_claims += record.false_not_run_claim ? 1 : 0;
  for (const float gap : record.token_gaps_ms) {
    if (gap > kStallGapMs) group.stall_ms += gap - kStallGapMs;
  }
  group.token_gaps_ms.insert(group.token_gaps_ms.end(),
                             record.token_gaps_ms.begin(),
                             record.token_gaps_ms.end());
  if (record.first_token_at_ms >= 0) {
    group.first_token_ms.push_back(
        static_cast<float>(record.first_token_at_ms - record.arrived_at_ms));
  }
  const double waited_ms = record.first_token_at_ms >= 0
                               ? record.first_token_at_ms - record.arrived_at_ms
                               : record.ended_at_ms - record.arrived_at_ms;
  // A response counts as late only from 1 s after the deadline, because the
  // wait includes the time that a refusal takes to reach the caller.
  constexpr double kLateToleranceMs = 1000;
  if (record.ended_at_ms < 0) group.unanswered += 1;
  if (waited_ms > deadline + kLateToleranceMs) group.late += 1;
  if (!record.completed) {
    group.refused[record.refusal_code.empty() ? "open" : record.refusal_code] +=
        1;
    return;
  }
  group.answered += 1;
  if (waited_ms > deadline) return;
  group.in_time += 1;
  group.good_tokens += record.tokens;
}

json::object group_statistics(GroupTotals& group) {
  json::object out;
  out["offered"] = group.offered;
  out["answered"] = group.answered;
  out["in_time"] = group.in_time;
  out["late"] = group.late;
  out["unanswered"] = group.unanswered;
  out["tokens"] = group.tokens;
  out["good_tokens"] = group.good_tokens;
  out["reconnects"] = group.reconnects;
  out["tokens_wrong"] = group.out_of_order_tokens;
  out["generations_joined"] = group.generation_mismatches;
  out["untrue_refusals"] = group.false_not_run_claims;
  out["stall_s"] = group.stall_ms / 1000;
  for (const double fraction : {0.5, 0.95, 0.99}) {
    const std::string name = "p" + std::to_string(std::lround(fraction * 100));
    out["first_token_ms_" + name] = percentile(group.first_token_ms, fraction);
    out["token_gap_ms_" + name] = percentile(group.token_gaps_ms, fraction);
  }
  json::object refused;
  for (const auto& [kind, count] : group.refused) refused[kind] = count;
  out["refused"] = std::move(refused);
  return out;
}

json::object all_group_statistics(std::map<std::string, GroupTotals>& groups) {
  json::object out;
  for (auto& [name, group] : groups) out[name] = group_statistics(group);
  return out;
}

void print_groups(const json::object& groups, std::string& text) {
  for (const auto& group : groups) {
    const json::object& row = group.value().as_object();
    const auto number = [&](const char* name) {
      return row.at(name).to_number<double>();
    };
    const std::string name(group.key());
    char line[256];
    std::snprintf(line, sizeof line,
                  "%-22s %8.0f %8.0f %8.0f %9.0f %9.1f %9.1f %8.1f %8.2f\n",
                  name.c_str(), number("offered"), number("answered"),
                  number("in_time"), number("tokens"),
                  number("first_token_ms_p50"), number("first_token_ms_p95"),
                  number("token_gap_ms_p95"), number("stall_s"));
    text += line;
  }
}

}  // namespace

json::object summarize(const std::vector<RequestRecord>& records,
                       const std::map<std::string, double>& deadlines,
                       double start, double warm_up) {
  std::map<std::string, GroupTotals> by_rank;
  std::map<std::string, GroupTotals> by_caller;
  std::map<std::string, GroupTotals> by_both;
  GroupTotals all;
  for (const RequestRecord& record : records) {
    if (record.arrived_at_ms - start < warm_up) continue;
    // Requests of a rank without a deadline are never late.
    const auto found = deadlines.find(record.rank);
    const double deadline = found == deadlines.end() ? 1e9 : found->second;
    add_record(all, record, deadline);
    add_record(by_rank[record.rank], record, deadline);
    add_record(by_caller[record.caller], record, deadline);
    add_record(by_both[record.rank + " " + record.caller], record, deadline);
  }
  json::object out;
  out["all"] = group_statistics(all);
  out["by_rank"] = all_group_statistics(by_rank);
  out["by_caller"] = all_group_statistics(by_caller);
  out["by_rank_and_caller"] = all_group_statistics(by_both);
  return out;
}

std::string format_summary(const json::object& summary) {
  char head[256];
  std::snprintf(head, sizeof head, "%-22s %8s %8s %8s %9s %9s %9s %8s %8s\n",
                "rank or caller", "offered", "answered", "in time", "tokens",
                "ttft p50", "ttft p95", "gap p95", "stall s");
  std::string text = head;
  print_groups(summary.at("by_rank").as_object(), text);
  print_groups(summary.at("by_caller").as_object(), text);
  return text;
}

}  // namespace peridotreach
