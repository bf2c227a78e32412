#include "config/document.hpp"

#include <algorithm>
#include <string>

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

std::string hash_of(char p_digit)
{
    return std::string(64, p_digit);
}

std::string document_with(const std::string& p_accounts,
                          const std::string& p_backends)
{
    return R"({"classes":[{"name":"fast","tier":0}],"accounts":[)" +
           p_accounts +
           R"(],"models":["m"],"services":["s"],"backend_servers":[)" +
           p_backends + R"(],"operators":[{"name":"ops","key_sha256":")" +
           hash_of('a') + R"("}]})";
}

std::string account(const std::string& p_class)
{
    return R"({"name":"shop","key_sha256":")" + hash_of('b') +
           R"(","default_class":")" + p_class +
           R"(","cap_tokens_per_s":100,"cap_concurrent":4})";
}

const std::string engine =
    R"({"name":"e1","address":"10.0.0.1","port":9000,"kind":"engine",)"
    R"("pools":["m"],"failure_domain":"fd1"})";

bool has_error(const std::string& p_document, const std::string& p_path)
{
    const auto parsed = parse_document(p_document);
    REQUIRE_FALSE(parsed);
    return std::any_of(parsed.error().begin(), parsed.error().end(),
                       [&](const document_error& p_error)
                       { return p_error.path_ == p_path; });
}

} // namespace

TEST_CASE("a valid document is accepted")
{
    const auto parsed = parse_document(document_with(account("fast"), engine));
    REQUIRE(parsed);
    CHECK(parsed->accounts_.front().cap_concurrent_ == 4);
    CHECK(parsed->backends_.front().slots_ == 8);
}

TEST_CASE("every error is reported with its path")
{
    const std::string broken =
        document_with(account("slow"),
                      R"({"name":"e1","address":"host","port":0,"kind":"gpu",)"
                      R"("pools":["x"],"failure_domain":"fd1","colour":1})");
    CHECK(has_error(broken, "accounts[0].default_class"));
    CHECK(has_error(broken, "backend_servers[0].address"));
    CHECK(has_error(broken, "backend_servers[0].port"));
    CHECK(has_error(broken, "backend_servers[0].kind"));
    CHECK(has_error(broken, "backend_servers[0].pools[0]"));
    CHECK(has_error(broken, "backend_servers[0].colour"));
}

TEST_CASE("duplicate names, missing lists and invalid JSON are rejected")
{
    CHECK(has_error(
        document_with(account("fast") + "," + account("fast"), engine),
        "accounts[1].name"));
    CHECK(has_error(R"({"classes":[]})", "document.accounts"));
    CHECK(has_error("{", ""));
    CHECK(has_error("[]", "document"));
}
