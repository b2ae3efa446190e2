#include "peridot-caller/workload.h"

#include "runtime/json.h"

namespace peridotreach {
namespace {

Millis milliseconds(const json::object& from, const char* name) {
  return static_cast<Millis>(double_member(from, name) * kSecond);
}

WorkStream stream_from(const json::object& from) {
  WorkStream stream;
  stream.caller = string_member(from, "caller");
  stream.key = string_member(from, "key");
  stream.rank = string_member(from, "rank");
  stream.model = string_member(from, "model");
  stream.text = string_member(from, "text");
  stream.rate = double_member(from, "rate");
  stream.start = milliseconds(from, "start_s");
  stream.stop = milliseconds(from, "stop_s");
  if (from.contains("prompt_characters")) {
    stream.prompt_characters =
        static_cast<std::uint32_t>(int_member(from, "prompt_characters"));
  }
  stream.same_prompt = bool_member(from, "same_prompt");
  stream.resend = bool_member(from, "resend");
  return stream;
}

}  // namespace

Result<Workload> read_workload(const std::string& text) {
  const Result<json::object> parsed = parse_object(text);
  if (!ok(parsed)) return error(parsed);
  const json::object& from = value(parsed);
  Workload workload;
  workload.seed = static_cast<std::uint64_t>(int_member(from, "seed"));
  workload.duration = milliseconds(from, "duration_s");
  if (from.contains("drain_s")) workload.drain = milliseconds(from, "drain_s");
  for (const json::value& entry : array_member(from, "entries")) {
    if (entry.is_string()) {
      workload.entries.emplace_back(entry.as_string().c_str());
    }
  }
  for (const json::value& stream : array_member(from, "streams")) {
    if (!stream.is_object()) continue;
    workload.streams.push_back(stream_from(stream.as_object()));
  }
  if (workload.entries.empty() || workload.streams.empty()) {
    return Error{ErrorKind::kInvalidInput,
                 "the workload names no entries or no streams",
                 "give lists \"entries\" and \"streams\""};
  }
  return workload;
}

}  // namespace peridotreach
