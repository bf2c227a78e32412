#include "backend/whole_call.hpp"

#include <utility>

namespace peridotspar::backend
{

namespace
{

constexpr duration connect_limit = std::chrono::milliseconds(800);
constexpr std::size_t longest_answer = 16U << 20U;

} // namespace

struct whole_calls::call : public call_handler
{
    bool on_head(const http::answer_head& p_head) override
    {
        answer_.status_ = p_head.status_;
        return true;
    }
    void on_body(std::string p_bytes) override
    {
        if (answer_.body_.size() + p_bytes.size() <= longest_answer)
        {
            answer_.body_ += p_bytes;
        }
    }
    void on_whole() override { end(); }
    void on_failure(call_failure p_failure) override
    {
        answer_ = {};
        answer_.unsent_ = p_failure == call_failure::unsent;
        end();
    }
    void end()
    {
        done_ = true;
        if (const auto take = std::exchange(take_, nullptr))
        {
            take(answer_);
        }
    }

    taker take_;
    call_answer answer_;
    time_point until_{};
    std::weak_ptr<connection> connection_;
    bool done_ = false;
};

whole_calls::whole_calls(boost::asio::io_context& p_context)
    : pool_(p_context, {connect_limit, std::chrono::seconds(20),
                        std::chrono::milliseconds(500)})
{
}

void whole_calls::send(const std::string& p_address, std::string p_request,
                       duration p_limit, taker p_take)
{
    const auto created = std::make_shared<call>();
    created->take_ = std::move(p_take);
    created->until_ = clock_.now() + p_limit;
    calls_.push_back(created);
    const auto used =
        pool_.send(p_address, p_address, std::move(p_request), false, created);
    created->connection_ = used;
    if (!used)
    {
        created->until_ = clock_.now();
    }
}

void whole_calls::tick(time_point p_now)
{
    pool_.tick(p_now);
    std::vector<std::shared_ptr<call>> overdue;
    for (auto each = calls_.begin(); each != calls_.end();)
    {
        if (!(*each)->done_ && p_now >= (*each)->until_)
        {
            overdue.push_back(*each);
        }
        each = (*each)->done_ ? calls_.erase(each) : std::next(each);
    }
    for (const auto& late : overdue)
    {
        if (const auto used = late->connection_.lock())
        {
            used->close();
        }
        late->on_failure(call_failure::cut);
    }
}

} // namespace peridotspar::backend
