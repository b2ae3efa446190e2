#include "standins/engine/sequence_events.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "runtime/clock.h"
#include "runtime/sse_parser.h"

namespace peridotreach::standin {
namespace {

// Events before the first token and after the last.
constexpr std::int64_t kLeadEvents = 3;
constexpr std::int64_t kTailEvents = 4;

// Returns the text of token `index` of a generation; readers can tell from it
// whether tokens were lost, repeated or mixed.
std::string token_text(const std::string& id, std::int64_t index) {
  return "t" + std::to_string(index) + "." + id.substr(id.size() - 6) + " ";
}

std::string whole_text(const Sequence& sequence) {
  std::string text;
  for (std::uint32_t i = 0; i < sequence.produced; ++i) {
    text += token_text(sequence.id, i);
  }
  return text;
}

json::object message_item(const Sequence& sequence, bool with_text) {
  json::object item;
  item["type"] = "message";
  item["id"] = "msg_" + sequence.id;
  item["role"] = "assistant";
  item["status"] = with_text ? "completed" : "in_progress";
  json::array content;
  if (with_text) {
    json::object part;
    part["type"] = "output_text";
    part["text"] = whole_text(sequence);
    part["annotations"] = json::array();
    content.push_back(std::move(part));
  }
  item["content"] = std::move(content);
  return item;
}

}  // namespace

json::object response_json(const Sequence& sequence) {
  json::object response;
  response["id"] = sequence.id;
  response["object"] = "response";
  response["created_at"] = wall_now_ms() / 1000;
  response["model"] = sequence.model;
  response["status"] = sequence.cancelled  ? "cancelled"
                       : sequence.finished ? "completed"
                                           : "in_progress";
  response["error"] = nullptr;
  json::array output;
  if (sequence.finished) output.push_back(message_item(sequence, true));
  response["output"] = std::move(output);
  json::object usage;
  usage["input_tokens"] = sequence.prompt_tokens;
  usage["output_tokens"] = sequence.produced;
  usage["total_tokens"] = sequence.prompt_tokens + sequence.produced;
  response["usage"] = std::move(usage);
  return response;
}

namespace {

std::string typed_event(const std::string& type, std::int64_t number,
                        json::object data) {
  data["type"] = type;
  data["sequence_number"] = number;
  return format_sse(type, json::serialize(data));
}

json::object part_position(const Sequence& sequence) {
  json::object data;
  data["item_id"] = "msg_" + sequence.id;
  data["output_index"] = 0;
  data["content_index"] = 0;
  return data;
}

std::string lead_event(const Sequence& sequence, std::int64_t number) {
  json::object data;
  if (number == 0) {
    data["response"] = response_json(sequence);
    return typed_event("response.created", number, std::move(data));
  }
  if (number == 1) {
    data["output_index"] = 0;
    data["item"] = message_item(sequence, false);
    return typed_event("response.output_item.added", number, std::move(data));
  }
  data = part_position(sequence);
  json::object part;
  part["type"] = "output_text";
  part["text"] = "";
  part["annotations"] = json::array();
  data["part"] = std::move(part);
  return typed_event("response.content_part.added", number, std::move(data));
}

std::string tail_event(const Sequence& sequence, std::int64_t number,
                       std::int64_t position) {
  json::object data = part_position(sequence);
  switch (position) {
    case 0:
      data["text"] = whole_text(sequence);
      return typed_event("response.output_text.done", number, std::move(data));
    case 1: {
      json::object part;
      part["type"] = "output_text";
      part["text"] = whole_text(sequence);
      part["annotations"] = json::array();
      data["part"] = std::move(part);
      return typed_event("response.content_part.done", number, std::move(data));
    }
    case 2: {
      json::object item;
      item["output_index"] = 0;
      item["item"] = message_item(sequence, true);
      return typed_event("response.output_item.done", number, std::move(item));
    }
    default: {
      json::object last;
      last["response"] = response_json(sequence);
      return typed_event("response.completed", number, std::move(last));
    }
  }
}

}  // namespace

std::string event_text(const Sequence& sequence, std::int64_t number) {
  if (number < kLeadEvents) return lead_event(sequence, number);
  const std::int64_t token = number - kLeadEvents;
  if (token < sequence.produced) {
    return "event: response.output_text.delta\ndata: "
           "{\"type\":\"response.output_text.delta\",\"sequence_number\":" +
           std::to_string(number) + ",\"item_id\":\"msg_" + sequence.id +
           "\",\"output_index\":0,\"content_index\":0,\"delta\":\"" +
           token_text(sequence.id, token) + "\"}\n\n";
  }
  return tail_event(sequence, number, token - sequence.produced);
}

std::int64_t event_count(const Sequence& sequence) {
  const std::int64_t tail = sequence.finished ? kTailEvents : 0;
  return kLeadEvents + sequence.produced + tail;
}

}  // namespace peridotreach::standin
