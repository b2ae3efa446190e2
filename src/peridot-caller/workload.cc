#include "peridot-caller/workload.h"

#include "runtime/json.h"

namespace peridotreach {
namespace {

Millis millis_member(const json::object& from, const char* name) {
  return static_cast<Millis>(real_member(from, name) * kSecond);
}

WorkStream parse_stream(const json::object& from) {
  WorkStream stream;
  stream.caller = text_member(from, "caller");
  stream.key = text_member(from, "key");
  stream.rank = text_member(from, "rank");
  stream.model = text_member(from, "model");
  stream.text = text_member(from, "text");
  stream.rate = real_member(from, "rate");
  stream.start = millis_member(from, "start_s");
  stream.stop = millis_member(from, "stop_s");
  if (from.contains("prompt_characters")) {
    stream.prompt_characters =
        static_cast<std::uint32_t>(number_member(from, "prompt_characters"));
  }
  stream.same_prompt = truth_member(from, "same_prompt");
  stream.resend = truth_member(from, "resend");
  return stream;
}

}  // namespace

Result<Workload> read_workload(const std::string& text) {
  const Result<json::object> parsed = parse_object(text);
  if (!ok(parsed)) return error(parsed);
  const json::object& from = value(parsed);
  Workload workload;
  workload.seed = static_cast<std::uint64_t>(number_member(from, "seed"));
  workload.duration = millis_member(from, "duration_s");
  if (from.contains("drain_s")) workload.drain = millis_member(from, "drain_s");
  for (const json::value& entry : array_member(from, "entries")) {
    if (entry.is_string()) {
      workload.entries.emplace_back(entry.as_string().c_str());
    }
  }
  for (const json::value& stream : array_member(from, "streams")) {
    if (!stream.is_object()) continue;
    workload.streams.push_back(parse_stream(stream.as_object()));
  }
  if (workload.entries.empty() || workload.streams.empty()) {
    return Error{ErrorKind::kInvalidInput,
                 "the workload has no \"entries\" or no \"streams\"",
                 "list at least one entry URL and one stream"};
  }
  return workload;
}

}  // namespace peridotreach
