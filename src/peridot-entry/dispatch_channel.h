#pragma once

// Batches of what an entry tells dispatchers.

#include <map>
#include <memory>
#include <string>

#include "libperidotreach/entry_effect.h"
#include "libperidotreach/fleet_view.h"
#include "runtime/control_link.h"

namespace peridotreach {

// Gathers reports and sends one message to each dispatcher a loop turn.
class DispatchChannel {
 public:
  DispatchChannel(asio::io_context& io, ControlLink& link);
  ~DispatchChannel();
  DispatchChannel(const DispatchChannel&) = delete;
  DispatchChannel& operator=(const DispatchChannel&) = delete;

  // The head of every message: this process and its configuration revision.
  void set_head(const proto::Envelope& head);

  // Where dispatchers listen.
  void set_view(const FleetView& view) { view_ = view; }

  void add(const SendEnqueue& effect);
  void add(const SendProgress& effect);
  void add(const SendDequeue& effect);
  void add(const SendReport& effect);

 private:
  proto::Envelope& batch(const std::string& dispatcher);
  void flush();

  asio::io_context& io_;
  ControlLink& link_;
  FleetView view_;
  std::unique_ptr<proto::Envelope> head_;
  std::map<std::string, proto::Envelope> batches_;
  bool flush_posted_ = false;
};

}  // namespace peridotreach
