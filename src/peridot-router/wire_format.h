#pragma once

// The wire format of a deployment, as functions that its platform adapter
// supplies. The router itself depends on no header name.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "libperidotreach/routing/routing_effect.h"
#include "libperidotreach/routing/routing_event.h"
#include "runtime/http_client.h"
#include "runtime/http_types.h"

namespace peridotreach {

// A caller's request as read from its connection, not yet decoded.
struct RawRequest {
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
};

// Contents of the head of an endpoint's response.
struct ResponseInfo {
  // Id of the request that the response belongs to; empty if it is not stated.
  std::string request_id;
  // The response carries the endpoint's stamp, so it comes from the endpoint
  // itself.
  bool has_stamp = false;
  // The endpoint states that it did not run the request.
  bool not_run = false;
  // The body has a content encoding. Endpoints use none, so the response does
  // not come from the endpoint.
  bool has_content_encoding = false;
  bool is_event_stream = false;
  EndpointNotice notice;
};

// An endpoint's response to a request to copy the KV cache of a generation.
struct CopyResponse {
  std::string handle;
  // Number of events that the generation had produced when it was copied.
  std::int64_t events_made = 0;
};

// State that an engine reports about itself.
struct EngineReport {
  // The engine is draining, or terminates within seconds.
  bool leaving = false;
};

// Encodes and decodes the messages of one deployment.
struct WireFormat {
  std::function<CallerRequest(const RawRequest&)> decode_request;
  // Builds the request that is forwarded to the endpoint.
  std::function<ClientRequest(const RawRequest&, const StartAttempt&)>
      endpoint_request;
  std::function<ResponseInfo(const std::vector<HttpHeader>&)>
      decode_response_head;
  // Returns the headers of an endpoint's response that the caller receives.
  std::function<std::vector<HttpHeader>(const std::vector<HttpHeader>&)>
      forwarded_response_headers;
  // Returns the headers of a response that the router generates itself. A
  // negative `retry_after` adds no Retry-After header.
  std::function<std::vector<HttpHeader>(const RawRequest&, Millis retry_after)>
      local_response_headers;
  std::function<ClientRequest(const CopyGeneration&, const std::string& id)>
      copy_request;
  std::function<CopyResponse(const std::string& body)> decode_copy_response;
  std::function<ClientRequest(const FreeCopy&)> free_copy_request;
  std::function<ClientRequest()> report_request;
  std::function<EngineReport(const std::string& body)> decode_report;
  // Builds the response to a caller that asks which router addresses to use.
  // The caller may cache it for `ttl`.
  std::function<HttpResponse(const std::vector<std::string>& addresses,
                             Millis ttl)>
      address_response;
};

}  // namespace peridotreach
