#include "peridot-caller/workload.h"

#include "runtime/json.h"

namespace peridotreach {
namespace {

Millis millis_member(const json::object& from, const char* name) {
  return static_cast<Millis>(double_member(from, name) * kSecond);
}

RequestStream parse_stream(const json::object& from) {
  RequestStream stream;
  stream.caller = string_member(from, "caller");
  stream.api_key = string_member(from, "key");
  stream.rank = string_member(from, "rank");
  stream.model = string_member(from, "model");
  stream.prompt_text = string_member(from, "text");
  stream.requests_per_second = double_member(from, "rate");
  stream.start = millis_member(from, "start_s");
  stream.stop = millis_member(from, "stop_s");
  if (from.contains("prompt_characters")) {
    stream.prompt_characters =
        static_cast<std::uint32_t>(int_member(from, "prompt_characters"));
  }
  stream.repeats_prompt = bool_member(from, "same_prompt");
  stream.resends_failed = bool_member(from, "resend");
  return stream;
}

}  // namespace

Result<Workload> read_workload(const std::string& text) {
  const Result<json::object> parsed = parse_object(text);
  if (!ok(parsed)) return error(parsed);
  const json::object& from = value(parsed);
  Workload workload;
  workload.seed = static_cast<std::uint64_t>(int_member(from, "seed"));
  workload.duration = millis_member(from, "duration_s");
  if (from.contains("drain_s"))
    workload.drain_timeout = millis_member(from, "drain_s");
  for (const json::value& entry : array_member(from, "entries")) {
    if (entry.is_string()) {
      workload.entry_urls.emplace_back(entry.as_string().c_str());
    }
  }
  for (const json::value& stream : array_member(from, "streams")) {
    if (!stream.is_object()) continue;
    workload.streams.push_back(parse_stream(stream.as_object()));
  }
  if (workload.entry_urls.empty() || workload.streams.empty()) {
    return Error{ErrorKind::kInvalidInput,
                 "the workload has no \"entries\" or no \"streams\"",
                 "list at least one entry URL and one stream"};
  }
  return workload;
}

}  // namespace peridotreach
