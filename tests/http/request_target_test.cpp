#include "http/message.hpp"
#include "http/request_target.hpp"
#include "platform/object_calls.hpp"

#include <vector>

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

const std::string store = "10.0.0.1:80";

std::string first_line(const std::string& p_request)
{
    return p_request.substr(0, p_request.find("\r\n"));
}

/// Names that other writers may give an object, and how each stands in a path
/// or a query.
struct name_case
{
    std::string name_;
    std::string encoded_;
};
const std::vector<name_case> odd_names{
    {"batch&old", "batch%26old"},
    {"batch old", "batch%20old"},
    {"a=b", "a%3Db"},
    {"a+b", "a%2Bb"},
    {"a#b", "a%23b"},
    {"a?b", "a%3Fb"},
    {"a/b", "a%2Fb"},
    {"%26", "%2526"},
    {"\xc3\xa4", "%C3%A4"},
    {"x HTTP/1.1\r\nX-A: b", "x%20HTTP%2F1.1%0D%0AX-A:%20b"},
    {std::string("a\0b", 3), "a%00b"},
    {"10.0.0.1:7340_~-", "10.0.0.1:7340_~-"},
};

} // namespace

// Guards against a name from the store that changes the query of the next call:
// a list then goes on from another name and never ends (LOST, memory).
TEST_CASE("an object's name stands for itself in the calls to the store")
{
    for (const auto& [name, encoded] : odd_names)
    {
        CAPTURE(name);
        CHECK(
            first_line(platform::list_request(store, "servers", name, true)) ==
            "GET /v1/objects/servers?after=" + encoded +
                "&stale_ok=1 HTTP/1.1");
        const std::string path = "/v1/objects/k/" + encoded + " HTTP/1.1";
        CHECK(first_line(platform::get_request(store, "k", name, false)) ==
              "GET " + path);
        CHECK(first_line(platform::delete_request(store, "k", name)) ==
              "DELETE " + path);
        // A JSON text can't hold each of these names.
        if (name.find('\0') == std::string::npos)
        {
            CHECK(first_line(platform::replace_request(store, "k", name, 3,
                                                       "{}")) == "PUT " + path);
        }
    }
}

TEST_CASE("a target's parts are encoded one by one")
{
    CHECK(http::percent_encode("") == "");
    http::request_target target("/beliefs");
    target.add_segment("a/b").add_segment("").add_parameter("k&", "1=2");
    CHECK(target.text() == "/beliefs/a%2Fb/?k%26=1%3D2");
}

// Guards against a name from the configuration that adds a header or a request.
TEST_CASE("a header's value can't end its line")
{
    const std::string value("a\r\nX-A: b\r\n\r\n\0c", 15);
    CHECK(http::write_head("GET / HTTP/1.1", {{"Host", value}}) ==
          "GET / HTTP/1.1\r\nHost: a  X-A: b     c\r\n\r\n");
}
