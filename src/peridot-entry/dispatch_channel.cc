#include "peridot-entry/dispatch_channel.h"

#include <utility>

#include "fleet.pb.h"
#include "runtime/clock.h"
#include "runtime/wire.h"

namespace peridotreach {

DispatchChannel::DispatchChannel(asio::io_context& io, ControlLink& link)
    : io_(io),
      link_(link),
      envelope_template_(std::make_unique<proto::Envelope>()) {}

DispatchChannel::~DispatchChannel() = default;

void DispatchChannel::set_envelope_template(const proto::Envelope& envelope) {
  *envelope_template_ = envelope;
}

proto::Envelope& DispatchChannel::batch_for(const std::string& dispatcher) {
  if (!flush_posted_) {
    flush_posted_ = true;
    asio::post(io_, [this] { flush(); });
  }
  const auto [entry, inserted] = batches_.try_emplace(dispatcher);
  if (inserted) {
    entry->second = *envelope_template_;
    entry->second.mutable_report();
  }
  return entry->second;
}

void DispatchChannel::add(const SendEnqueue& effect) {
  proto::EntryReport* report = batch_for(effect.dispatcher).mutable_report();
  to_wire(effect.request, monotonic_now(), *report->add_enqueue());
}

void DispatchChannel::add(const SendProgress& effect) {
  proto::EntryReport* report = batch_for(effect.dispatcher).mutable_report();
  proto::Progress* progress = report->add_progress();
  to_wire(effect.progress, monotonic_now(), *progress);
  if (!effect.include_request) {
    // A dispatcher that does not know the request requests a full report.
    progress->clear_item();
    progress->clear_endpoint();
    return;
  }
  // The dispatcher derives the cell from the endpoint; the other fields are
  // needed only to place the request.
  proto::QueueItem* item = progress->mutable_item();
  item->clear_request();
  item->clear_cell();
  item->clear_model();
  item->clear_waited_ms();
  item->clear_prefixes();
}

void DispatchChannel::add(const SendDequeue& effect) {
  batch_for(effect.dispatcher).mutable_report()->add_dropped(effect.request);
}

void DispatchChannel::add(const SendReport& effect) {
  proto::EntryReport* report = batch_for(effect.dispatcher).mutable_report();
  if (effect.full) report->set_full(true);
  const Millis now = monotonic_now();
  for (const QueuedRequest& item : effect.enqueue) {
    to_wire(item, now, *report->add_enqueue());
  }
  for (const RunProgress& progress : effect.progress) {
    to_wire(progress, now, *report->add_progress());
  }
}

void DispatchChannel::flush() {
  flush_posted_ = false;
  for (const auto& [dispatcher, envelope] : std::exchange(batches_, {})) {
    const VmInfo* vm = find_vm(view_, dispatcher);
    if (vm == nullptr) continue;
    link_.send(vm->address, static_cast<std::uint16_t>(vm->dispatch_port),
               envelope);
  }
}

}  // namespace peridotreach
