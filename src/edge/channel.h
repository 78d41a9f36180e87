#pragma once

#include "base/ring.h"
#include "decision/exchange.h"

#include <atomic>
#include <memory>
#include <string>
#include <variant>

namespace bluebell::edge {

/// Part that reports that the exchange was destroyed without a verdict, for example because the decider
/// failed.
struct abandoned {};

/// A head, bytes of the body, the verdict, or the notice of an abandoned exchange.
using answer_part = std::variant<decision::answer_head, std::string, decision::verdict, abandoned>;

/// The caller's side of one request: a bounded ring of answer parts, and the state that decides whether the
/// request may still be sent. Owned jointly by the exchange and the thread of the request.
/// Thread safety: `pop` and `give_up` by the thread of the request; the rest by any thread.
class channel {
public:
    explicit channel(decision::content content) : content_(std::move(content)), parts_(capacity) {}

    [[nodiscard]] const decision::content& request_content() const { return content_; }
    /// Waits up to `timeout` for the next part of the answer.
    std::optional<answer_part> pop(base::duration timeout) { return parts_.pop(timeout); }

    /// Ends the request on the caller's side: no attempt starts afterwards, and nothing more is delivered.
    /// Returns true if the request was never sent, so that it has not run and will not.
    bool give_up();
    /// Returns whether no attempt has begun so far.
    [[nodiscard]] bool unsent() const;

    /// Marks the request as sent. Returns false if the caller's side has given up.
    bool begin_attempt();
    /// Adds a part of the answer. Returns false if the caller's side has given up or if the ring is full.
    bool deliver(answer_part part);
    /// Adds a head, a verdict or an abandonment, for which slots of the ring are reserved.
    void deliver_reserved(answer_part part);

private:
    /// Slots of the ring, which take 6 KB per request. At 53 ms between tokens, a caller may pause for about
    /// 6 s before its stream is ended.
    static constexpr std::size_t capacity = 128;
    /// Slots for the head, a verdict and the notice of an abandoned exchange.
    static constexpr std::size_t reserved_slots = 3;

    /// Whether the request was sent, and whether the caller's side has given up.
    enum class send_state { unsent, sent, given_up_unsent, given_up_sent };

    const decision::content content_;
    base::ring<answer_part> parts_;
    std::atomic<send_state> send_state_{send_state::unsent};
};

/// The exchange that the decider and the transport hold for a request. If it is destroyed without a verdict,
/// for example because the decider failed, the request ends for the caller.
class channel_exchange final : public decision::exchange {
public:
    explicit channel_exchange(std::shared_ptr<channel> target) : channel_(std::move(target)) {}
    channel_exchange(const channel_exchange&) = delete;
    channel_exchange& operator=(const channel_exchange&) = delete;
    channel_exchange(channel_exchange&&) = delete;
    channel_exchange& operator=(channel_exchange&&) = delete;
    ~channel_exchange() override;

    [[nodiscard]] const decision::content& request_content() const override {
        return channel_->request_content();
    }
    [[nodiscard]] bool begin_attempt() override { return channel_->begin_attempt(); }
    void begin(const decision::answer_head& head) override;
    [[nodiscard]] bool deliver(std::string bytes) override;
    void finish(const decision::verdict& verdict) override;

private:
    std::shared_ptr<channel> channel_;
    std::atomic<bool> finished_{false};
};

} // namespace bluebell::edge
