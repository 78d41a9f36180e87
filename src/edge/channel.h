#pragma once

#include "base/ring.h"
#include "decision/exchange.h"

#include <atomic>
#include <memory>
#include <string>
#include <variant>

namespace bluebell::edge {

/// The exchange was destroyed without a verdict: whoever held it is gone.
struct abandoned {};

using answer_part = std::variant<decision::answer_head, std::string, decision::verdict, abandoned>;

/// The caller's side of one request: a bounded ring of answer parts, and the decision whether the request may
/// still be sent. Outlives the exchange and the thread of the request, whichever ends first.
/// Thread safety: `pop` and `give_up` by the thread of the request; the rest by any thread.
class channel {
public:
    explicit channel(decision::content carried) : content_(std::move(carried)), parts_(capacity) {}

    [[nodiscard]] const decision::content& request_content() const { return content_; }
    std::optional<answer_part> pop(base::duration timeout) { return parts_.pop(timeout); }

    /// Ends the request on the caller's side; no attempt starts after it, and nothing more is delivered.
    /// Returns whether the request was never sent, so that it did not run and will not.
    bool give_up();
    /// Whether no attempt has begun so far.
    [[nodiscard]] bool unsent() const;

    /// False once the caller's side gave up.
    bool begin_attempt();
    /// Adds a part of the answer; false if the caller's side gave up or is behind by the whole ring.
    bool deliver(answer_part part);
    /// Adds the last part, for which a place is reserved.
    void finish(answer_part last);

private:
    /// At 53 ms between tokens a caller may pause for about 6 s before its stream is ended. The slots take 6
    /// KB per request.
    static constexpr std::size_t capacity = 128;
    /// For the head, a verdict and the notice of an abandoned exchange.
    static constexpr std::size_t reserved = 3;

    enum class progress { unsent, sent, given_up_unsent, given_up_sent };

    const decision::content content_;
    base::ring<answer_part> parts_;
    std::atomic<progress> progress_{progress::unsent};
};

/// The side of a request that decider and transport hold. Its destruction without a verdict, as when the
/// decider fails, ends the request for the caller.
class channel_exchange final : public decision::exchange {
public:
    explicit channel_exchange(std::shared_ptr<channel> to) : to_(std::move(to)) {}
    channel_exchange(const channel_exchange&) = delete;
    channel_exchange& operator=(const channel_exchange&) = delete;
    channel_exchange(channel_exchange&&) = delete;
    channel_exchange& operator=(channel_exchange&&) = delete;
    ~channel_exchange() override;

    [[nodiscard]] const decision::content& request_content() const override { return to_->request_content(); }
    [[nodiscard]] bool begin_attempt() override { return to_->begin_attempt(); }
    void begin(const decision::answer_head& head) override;
    [[nodiscard]] bool deliver(std::string bytes) override;
    void finish(const decision::verdict& last) override;

private:
    std::shared_ptr<channel> to_;
    std::atomic<bool> finished_{false};
};

} // namespace bluebell::edge
