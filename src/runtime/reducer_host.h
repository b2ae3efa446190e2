#pragma once

// Runs a reducer as a CAF actor on its own thread. Events posted on the I/O
// thread reach the actor in batches; the resulting effects are performed on the
// I/O thread in the same order.

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

// Message to the actor: events to reduce, in order.
template <class Event>
struct EventBatch {
  std::vector<Event> events;
};

// Message to the actor: a function to call with the reducer's state.
template <class State>
struct StateQuery {
  std::function<void(const State&)> evaluate;
};

}  // namespace peridotreach

namespace caf {

// CAF never serializes these messages because they stay inside the process.
template <class Event>
struct allowed_unsafe_message_type<peridotreach::EventBatch<Event>>
    : std::true_type {};
template <class State>
struct allowed_unsafe_message_type<peridotreach::StateQuery<State>>
    : std::true_type {};

}  // namespace caf

namespace peridotreach {

// Owns the state of one reducer and the actor that runs it. `Reduce` updates
// the state and appends effects; `Perform` executes a batch of effects.
template <class State, class Event, class Effect>
class ReducerHost {
 public:
  using Reduce =
      std::function<void(State&, const Event&, std::vector<Effect>&)>;
  using Perform = std::function<void(std::vector<Effect>&)>;

  // Starts the actor. Records a trace to `trace_path` unless it is empty.
  ReducerHost(asio::io_context& io, State initial, Reduce reduce,
              Perform perform, const std::string& trace_path,
              TraceHeader header)
      : io_(io), perform_(std::move(perform)) {
    config_.set("scheduler.policy", caf::atom("sharing"));
    config_.set("scheduler.max-threads", 1);
    system_ = std::make_unique<caf::actor_system>(config_);
    auto writer = std::make_shared<TraceWriter>(trace_path);
    if (writer->is_open()) writer->write(pack(header));
    auto state = std::make_shared<State>(std::move(initial));
    actor_ = system_->template spawn<caf::detached>(
        [=, this](caf::event_based_actor*) -> caf::behavior {
          return {[=, this](EventBatch<Event>& batch) {
                    run(*state, reduce, *writer, batch);
                  },
                  [=](StateQuery<State>& query) { query.evaluate(*state); }};
        });
  }

  ~ReducerHost() {
    caf::anon_send_exit(actor_, caf::exit_reason::user_shutdown);
  }
  ReducerHost(const ReducerHost&) = delete;
  ReducerHost& operator=(const ReducerHost&) = delete;

  // Queues an event for the reducer. Must be called on the I/O thread.
  void post(Event event) {
    pending_.push_back(std::move(event));
    if (flush_posted_) return;
    flush_posted_ = true;
    asio::post(io_, [this] { flush(); });
  }

  // Calls `evaluate` with the state on the actor's thread and passes the result
  // to `on_result` on the I/O thread.
  template <class Value>
  void query(std::function<Value(const State&)> evaluate,
             std::function<void(Value)> on_result) {
    StateQuery<State> message;
    message.evaluate = [this, evaluate = std::move(evaluate),
                        on_result = std::move(on_result)](const State& state) {
      auto result = std::make_shared<Value>(evaluate(state));
      asio::post(io_, [on_result, result] { on_result(std::move(*result)); });
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
      if (writer.is_open()) {
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
