#pragma once

// Batched messages from an entry process to the dispatchers.

#include <map>
#include <memory>
#include <string>

#include "libperidotreach/entry_effect.h"
#include "libperidotreach/fleet_view.h"
#include "runtime/control_link.h"

namespace peridotreach {

// Collects reports and sends each dispatcher at most one message per iteration
// of the event loop.
class DispatchChannel {
 public:
  DispatchChannel(asio::io_context& io, ControlLink& link);
  ~DispatchChannel();
  DispatchChannel(const DispatchChannel&) = delete;
  DispatchChannel& operator=(const DispatchChannel&) = delete;

  // Sets the fields that every message starts with: this process's identity and
  // its configuration revision.
  void set_envelope_template(const proto::Envelope& envelope);

  // Sets the view in which the dispatchers' addresses are looked up.
  void set_view(const FleetView& view) { view_ = view; }

  void add(const SendEnqueue& effect);
  void add(const SendProgress& effect);
  void add(const SendDequeue& effect);
  void add(const SendReport& effect);

 private:
  proto::Envelope& batch_for(const std::string& dispatcher);
  void flush();

  asio::io_context& io_;
  ControlLink& link_;
  FleetView view_;
  std::unique_ptr<proto::Envelope> envelope_template_;
  std::map<std::string, proto::Envelope> batches_;
  bool flush_posted_ = false;
};

}  // namespace peridotreach
