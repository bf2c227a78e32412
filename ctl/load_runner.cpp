#include "ctl/load_runner.hpp"

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
using steady = std::chrono::steady_clock;

double ms_since(steady::time_point p_start)
{
    return std::chrono::duration<double, std::milli>(steady::now() - p_start)
        .count();
}

/// One request while its answer arrives.
struct running_call
{
    load_sample sample_;
    sse_splitter splitter_;
    steady::time_point started_ = steady::now();
    steady::time_point last_token_{};
    std::string rest_;
    bool done_ = false;
    bool in_order_ = true;

    void take_token(const json& p_event)
    {
        const auto& choice = p_event["choices"][0];
        const std::string text = choice["delta"].value("content", "");
        const auto colon = text.find(':');
        const bool expected = colon != std::string::npos &&
                              std::strtoul(text.c_str() + colon + 1, nullptr,
                                           10) == sample_.tokens_;
        in_order_ = in_order_ && expected;
        const auto now = steady::now();
        if (sample_.tokens_ == 0)
        {
            sample_.first_token_ms_ = ms_since(started_);
        }
        else
        {
            sample_.gaps_ms_.push_back(
                std::chrono::duration<double, std::milli>(now - last_token_)
                    .count());
        }
        last_token_ = now;
        ++sample_.tokens_;
    }

    void take(std::string_view p_bytes)
    {
        const auto taken = splitter_.feed(p_bytes);
        done_ = done_ || taken.done_;
        std::size_t at = 0;
        while (at < taken.bytes_.size())
        {
            const auto end = taken.bytes_.find("\n\n", at);
            const std::string event = taken.bytes_.substr(at, end - at);
            at = end + 2;
            const json parsed = json::parse(
                event.substr(std::min<std::size_t>(6, event.size())), nullptr,
                false);
            if (parsed.is_object() && parsed.contains("choices"))
            {
                take_token(parsed);
            }
            else if (parsed.is_object() && parsed.contains("error"))
            {
                take_error(parsed["error"]);
            }
        }
    }

    void take_error(const json& p_error)
    {
        sample_.code_ = p_error.value("code", "");
        sample_.verdict_ = p_error.value("verdict", "");
    }
};

std::size_t on_write(char* p_data, std::size_t p_size, std::size_t p_count,
                     void* p_call)
{
    auto* call = static_cast<running_call*>(p_call);
    const std::string_view bytes(p_data, p_size * p_count);
    call->rest_ += bytes;
    call->take(bytes);
    return bytes.size();
}

std::string body_of(const load_plan& p_plan, std::uint32_t p_number)
{
    std::string prompt = p_plan.mark_ + " " + std::to_string(p_number) +
                         " out=" + std::to_string(p_plan.output_tokens_) + " ";
    prompt.resize(std::max<std::size_t>(prompt.size(), p_plan.prompt_bytes_),
                  'x');
    return json{
        {"model", p_plan.model_},
        {"stream", true},
        {"messages", json::array({{{"role", "user"}, {"content", prompt}}})}}
        .dump();
}

load_sample run_one(CURL* p_handle, const load_plan& p_plan,
                    std::uint32_t p_number)
{
    running_call call;
    call.sample_.target_ = p_number % p_plan.targets_.size();
    const endpoint& target = p_plan.targets_[call.sample_.target_];
    const std::string url = "http://" + target.address_ + ":" +
                            std::to_string(target.port_) +
                            "/v1/chat/completions";
    const std::string body = body_of(p_plan, p_number);
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
    call.started_ = steady::now();
    const CURLcode code = curl_easy_perform(p_handle);
    long status = 0;
    curl_easy_getinfo(p_handle, CURLINFO_RESPONSE_CODE, &status);
    curl_slist_free_all(headers);
    call.sample_.status_ = static_cast<int>(status);
    call.sample_.whole_ = code == CURLE_OK && status == 200 && call.done_ &&
                          call.in_order_ &&
                          call.sample_.tokens_ == p_plan.output_tokens_;
    if (status != 200)
    {
        const json error = json::parse(call.rest_, nullptr, false);
        if (error.is_object() && error.contains("error"))
        {
            call.take_error(error["error"]);
        }
    }
    for (const double gap : call.sample_.gaps_ms_)
    {
        call.sample_.longest_gap_ms_ =
            std::max(call.sample_.longest_gap_ms_, gap);
    }
    return std::move(call.sample_);
}

} // namespace

std::vector<load_sample> run_load(const load_plan& p_plan)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    std::vector<load_sample> samples(p_plan.count_);
    std::atomic<std::uint32_t> next{0};
    const auto started = steady::now();
    const auto worker = [&]
    {
        const std::unique_ptr<CURL, void (*)(CURL*)> handle(curl_easy_init(),
                                                            &curl_easy_cleanup);
        for (std::uint32_t number = next++; number < p_plan.count_;
             number = next++)
        {
            if (p_plan.per_second_ > 0)
            {
                std::this_thread::sleep_until(
                    started + std::chrono::duration_cast<steady::duration>(
                                  std::chrono::duration<double>(
                                      number / p_plan.per_second_)));
            }
            samples[number] = run_one(handle.get(), p_plan, number);
        }
    };
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0; i < std::min(p_plan.concurrent_, p_plan.count_);
         ++i)
    {
        threads.emplace_back(worker);
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    return samples;
}

double percentile(std::vector<double> p_values, double p_share)
{
    if (p_values.empty())
    {
        return 0;
    }
    const auto at = static_cast<std::ptrdiff_t>(
        p_share * static_cast<double>(p_values.size() - 1));
    std::nth_element(p_values.begin(), p_values.begin() + at, p_values.end());
    return p_values[static_cast<std::size_t>(at)];
}

} // namespace peridotspar
