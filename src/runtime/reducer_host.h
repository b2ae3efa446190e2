#pragma once

// Runs a reducer as a CAF actor on a thread of its own. Events posted on the
// I/O thread reach the actor in batches; its effects come back to the I/O
// thread in the same order.

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/scoped_actor.hpp>
#include <caf/send.hpp>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "runtime/asio.h"
#include "runtime/trace_file.h"

namespace peridotreach {

// A batch of events on its way to the actor.
template <class Event>
struct EventBatch {
  std::vector<Event> events;
};

// A request for a value computed from the reducer's state.
template <class State>
struct StateQuery {
  std::function<void(const State&)> ask;
};

}  // namespace peridotreach

namespace caf {

// Batches stay inside the process; they are never serialized by CAF.
template <class Event>
struct allowed_unsafe_message_type<peridotreach::EventBatch<Event>>
    : std::true_type {};
template <class State>
struct allowed_unsafe_message_type<peridotreach::StateQuery<State>>
    : std::true_type {};

}  // namespace caf

namespace peridotreach {

// The host of one reducer. `Step` has the members `state` and `effects`.
template <class State, class Event, class Effect>
class ReducerHost {
 public:
  using Reduce =
      std::function<void(State&, const Event&, std::vector<Effect>&)>;
  using Perform = std::function<void(std::vector<Effect>&)>;

  ReducerHost(asio::io_context& io, State initial, Reduce reduce,
              Perform perform, const std::string& trace, TraceHead head)
      : io_(io), perform_(std::move(perform)) {
    config_.set("scheduler.policy", caf::atom("sharing"));
    config_.set("scheduler.max-threads", 1);
    system_ = std::make_unique<caf::actor_system>(config_);
    auto writer = std::make_shared<TraceWriter>(trace);
    if (writer->is_on()) writer->write(pack(head));
    auto state = std::make_shared<State>(std::move(initial));
    actor_ = system_->template spawn<caf::detached>(
        [=, this](caf::event_based_actor*) -> caf::behavior {
          return {[=, this](EventBatch<Event>& batch) {
                    run(*state, reduce, *writer, batch);
                  },
                  [=](StateQuery<State>& query) { query.ask(*state); }};
        });
  }

  ~ReducerHost() {
    caf::anon_send_exit(actor_, caf::exit_reason::user_shutdown);
  }
  ReducerHost(const ReducerHost&) = delete;
  ReducerHost& operator=(const ReducerHost&) = delete;

  // Hands an event to the reducer. Only called on the I/O thread.
  void post(Event event) {
    pending_.push_back(std::move(event));
    if (flush_posted_) return;
    flush_posted_ = true;
    asio::post(io_, [this] { flush(); });
  }

  // Computes `ask` on the state and passes its value to `then` on the I/O
  // thread.
  template <class Value>
  void query(std::function<Value(const State&)> ask,
             std::function<void(Value)> then) {
    StateQuery<State> message;
    message.ask = [this, ask = std::move(ask),
                   then = std::move(then)](const State& state) {
      auto answer = std::make_shared<Value>(ask(state));
      asio::post(io_, [then, answer] { then(std::move(*answer)); });
    };
    caf::anon_send(actor_, std::move(message));
  }

 private:
  void flush() {
    flush_posted_ = false;
    caf::anon_send(actor_, EventBatch<Event>{std::exchange(pending_, {})});
  }

  void run(State& state, const Reduce& reduce, TraceWriter& writer,
           EventBatch<Event>& batch) {
    auto effects = std::make_shared<std::vector<Effect>>();
    for (Event& event : batch.events) {
      std::vector<Effect> step;
      reduce(state, event, step);
      if (writer.is_on()) {
        writer.write(pack(event));
        writer.write(pack_effects(step));
      }
      std::move(step.begin(), step.end(), std::back_inserter(*effects));
    }
    if (effects->empty()) return;
    asio::post(io_, [this, effects] { perform_(*effects); });
  }

  asio::io_context& io_;
  Perform perform_;
  caf::actor_system_config config_;
  std::unique_ptr<caf::actor_system> system_;
  caf::actor actor_;
  std::vector<Event> pending_;
  bool flush_posted_ = false;
};

}  // namespace peridotreach
