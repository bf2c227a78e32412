#include "http/request_target.hpp"

#include <memory>
#include <new>

#include <boost/algorithm/string/replace.hpp>
#include <curl/curl.h>

namespace peridotspar::http
{

std::string percent_encode(std::string_view p_text)
{
    if (p_text.empty())
    {
        return {}; // libcurl takes a length of zero for "up to the NUL".
    }
    const std::unique_ptr<char, void (*)(void*)> encoded(
        curl_easy_escape(nullptr, p_text.data(),
                         static_cast<int>(p_text.size())),
        curl_free);
    if (!encoded)
    {
        throw std::bad_alloc();
    }
    std::string text(encoded.get());
    boost::replace_all(text, "%3A", ":");
    return text;
}

request_target& request_target::add_segment(std::string_view p_segment)
{
    text_ += '/';
    text_ += percent_encode(p_segment);
    return *this;
}

request_target& request_target::add_parameter(std::string_view p_name,
                                              std::string_view p_value)
{
    text_ += has_query_ ? '&' : '?';
    has_query_ = true;
    text_ += percent_encode(p_name);
    text_ += '=';
    text_ += percent_encode(p_value);
    return *this;
}

} // namespace peridotspar::http
