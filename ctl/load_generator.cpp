#include "ctl/load_generator.hpp"

#include "transport/sse_splitter.hpp"

#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>

#include <curl/curl.h>
#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;
using steady_clock = std::chrono::steady_clock;

double ms_since(steady_clock::time_point p_start)
{
    return std::chrono::duration<double, std::milli>(steady_clock::now() -
                                                     p_start)
        .count();
}

/// A request whose response is being received.
struct streamed_call
{
    load_sample sample_;
    sse_splitter splitter_;
    steady_clock::time_point started_at_ = steady_clock::now();
    steady_clock::time_point last_token_at_{};
    std::string response_body_;
    bool done_ = false;
    bool tokens_in_order_ = true;

    /// Checks the order: the stand-in engine sends `MARK:INDEX ` as the text of
    /// each token.
    void on_token(const json& p_event)
    {
        const auto& choice = p_event["choices"][0];
        const std::string text = choice["delta"].value("content", "");
        const auto colon = text.find(':');
        const bool in_order = colon != std::string::npos &&
                              std::strtoul(text.c_str() + colon + 1, nullptr,
                                           10) == sample_.tokens_;
        tokens_in_order_ = tokens_in_order_ && in_order;
        const auto now = steady_clock::now();
        if (sample_.tokens_ == 0)
        {
            sample_.first_token_ms_ = ms_since(started_at_);
        }
        else
        {
            sample_.gaps_ms_.push_back(
                std::chrono::duration<double, std::milli>(now - last_token_at_)
                    .count());
        }
        last_token_at_ = now;
        ++sample_.tokens_;
    }

    void on_bytes(std::string_view p_bytes)
    {
        const auto split = splitter_.feed(p_bytes);
        done_ = done_ || split.done_;
        std::size_t index = 0;
        while (index < split.bytes_.size())
        {
            const auto end = split.bytes_.find("\n\n", index);
            const std::string event = split.bytes_.substr(index, end - index);
            index = end + 2;
            // Skips the field name `data: `.
            const json parsed = json::parse(
                event.substr(std::min<std::size_t>(6, event.size())), nullptr,
                false);
            if (parsed.is_object() && parsed.contains("choices"))
            {
                on_token(parsed);
            }
            else if (parsed.is_object() && parsed.contains("error"))
            {
                record_error(parsed["error"]);
            }
        }
    }

    void record_error(const json& p_error)
    {
        sample_.error_code_ = p_error.value("code", "");
        sample_.verdict_ = p_error.value("verdict", "");
    }
};

std::size_t on_write(char* p_data, std::size_t p_size, std::size_t p_count,
                     void* p_user_data)
{
    auto* call = static_cast<streamed_call*>(p_user_data);
    const std::string_view bytes(p_data, p_size * p_count);
    call->response_body_ += bytes;
    call->on_bytes(bytes);
    return bytes.size();
}

std::string make_body(const load_plan& p_plan, std::uint32_t p_number)
{
    std::string prompt = p_plan.prompt_prefix_ + " " +
                         std::to_string(p_number) +
                         " out=" + std::to_string(p_plan.output_tokens_) + " ";
    prompt.resize(std::max<std::size_t>(prompt.size(), p_plan.prompt_bytes_),
                  'x');
    return json{
        {"model", p_plan.model_},
        {"stream", true},
        {"messages", json::array({{{"role", "user"}, {"content", prompt}}})}}
        .dump();
}

load_sample run_request(CURL* p_handle, const load_plan& p_plan,
                        std::uint32_t p_number)
{
    streamed_call call;
    call.sample_.target_index_ = p_number % p_plan.targets_.size();
    const endpoint& target = p_plan.targets_[call.sample_.target_index_];
    const std::string url = "http://" + target.address_ + ":" +
                            std::to_string(target.port_) +
                            "/v1/chat/completions";
    const std::string body = make_body(p_plan, p_number);
    curl_slist* headers =
        curl_slist_append(nullptr, "Content-Type: application/json");
    headers = curl_slist_append(
        headers, ("Authorization: Bearer " + p_plan.key_).c_str());
    headers = curl_slist_append(headers, "Expect:");
    if (!p_plan.class_.empty())
    {
        headers =
            curl_slist_append(headers, ("X-Class: " + p_plan.class_).c_str());
    }
    curl_easy_setopt(p_handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(p_handle, CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(p_handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(p_handle, CURLOPT_WRITEFUNCTION, &on_write);
    curl_easy_setopt(p_handle, CURLOPT_WRITEDATA, &call);
    curl_easy_setopt(p_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(p_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(p_handle, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(p_plan.timeout_.count()));
    call.started_at_ = steady_clock::now();
    const CURLcode code = curl_easy_perform(p_handle);
    long status = 0;
    curl_easy_getinfo(p_handle, CURLINFO_RESPONSE_CODE, &status);
    curl_slist_free_all(headers);
    call.sample_.status_ = static_cast<int>(status);
    call.sample_.complete_ = code == CURLE_OK && status == 200 && call.done_ &&
                             call.tokens_in_order_ &&
                             call.sample_.tokens_ == p_plan.output_tokens_;
    if (status != 200)
    {
        const json error = json::parse(call.response_body_, nullptr, false);
        if (error.is_object() && error.contains("error"))
        {
            call.record_error(error["error"]);
        }
    }
    for (const double gap_ms : call.sample_.gaps_ms_)
    {
        call.sample_.longest_gap_ms_ =
            std::max(call.sample_.longest_gap_ms_, gap_ms);
    }
    return std::move(call.sample_);
}

} // namespace

std::vector<load_sample> run_load(const load_plan& p_plan)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    std::vector<load_sample> samples(p_plan.request_count_);
    std::atomic<std::uint32_t> next{0};
    const auto started = steady_clock::now();
    const auto worker = [&]
    {
        const std::unique_ptr<CURL, void (*)(CURL*)> handle(curl_easy_init(),
                                                            &curl_easy_cleanup);
        for (std::uint32_t number = next++; number < p_plan.request_count_;
             number = next++)
        {
            if (p_plan.requests_per_second_ > 0)
            {
                std::this_thread::sleep_until(
                    started +
                    std::chrono::duration_cast<steady_clock::duration>(
                        std::chrono::duration<double>(
                            number / p_plan.requests_per_second_)));
            }
            samples[number] = run_request(handle.get(), p_plan, number);
        }
    };
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0;
         i < std::min(p_plan.concurrency_, p_plan.request_count_); ++i)
    {
        threads.emplace_back(worker);
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    return samples;
}

double percentile(std::vector<double> p_values, double p_quantile)
{
    if (p_values.empty())
    {
        return 0;
    }
    const auto index = static_cast<std::ptrdiff_t>(
        p_quantile * static_cast<double>(p_values.size() - 1));
    std::nth_element(p_values.begin(), p_values.begin() + index,
                     p_values.end());
    return p_values[static_cast<std::size_t>(index)];
}

} // namespace peridotspar
