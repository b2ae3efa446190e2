#pragma once

// What the router needs to know of a deployment's wire format, as functions
// that the deployment's adapter supplies. The router knows no header's name.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "libperidotreach/routing/routing_effect.h"
#include "libperidotreach/routing/routing_event.h"
#include "runtime/http_client.h"
#include "runtime/http_types.h"

namespace peridotreach {

// A caller's request as it was read.
struct RawRequest {
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
};

// What the head of an endpoint's answer says.
struct ResponseInfo {
  // The request that the answer belongs to, empty if it does not say.
  std::string request_id;
  // The endpoint's stamp vouches for the answer.
  bool has_stamp = false;
  // The endpoint states that it did not run the request.
  bool not_run = false;
  // The body is encoded, so it is not the endpoint's.
  bool has_content_encoding = false;
  bool is_event_stream = false;
};

// How an endpoint answered a request to copy a generation.
struct CopyResponse {
  std::string handle;
  std::int64_t events_made = 0;
};

// What an engine reports of itself.
struct EngineReport {
  // It stops taking work, or will be gone within seconds.
  bool leaving = false;
};

struct WireFormat {
  std::function<CallerRequest(const RawRequest&)> decode_request;
  // The request as the endpoint gets it.
  std::function<ClientRequest(const RawRequest&, const StartAttempt&)>
      endpoint_request;
  std::function<ResponseInfo(const std::vector<HttpHeader>&)>
      decode_response_head;
  // Headers of the endpoint's answer that the caller gets.
  std::function<std::vector<HttpHeader>(const std::vector<HttpHeader>&)>
      forwarded_response_headers;
  // Headers of an answer of our own.
  std::function<std::vector<HttpHeader>(const RawRequest&, Millis retry_after)>
      local_response_headers;
  std::function<ClientRequest(const CopyGeneration&, const std::string& id)>
      copy_request;
  std::function<CopyResponse(const std::string& body)> decode_copy_response;
  std::function<ClientRequest(const FreeCopy&)> free_copy_request;
  std::function<ClientRequest()> report_request;
  std::function<EngineReport(const std::string& body)> decode_report;
  // The answer to the question which addresses to use.
  std::function<HttpResponse(const std::vector<std::string>& addresses,
                             Millis life)>
      address_response;
};

}  // namespace peridotreach
