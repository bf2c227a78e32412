#include "core/text.hpp"

#include "core/clock.hpp"

#include <array>
#include <cctype>
#include <charconv>
#include <cstdio>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace peridotspar
{

namespace
{

constexpr std::size_t uuid_length = 36;
constexpr std::size_t uuid_version_index = 14;

std::string to_hex(const unsigned char* p_data, std::size_t p_size)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(p_size * 2);
    for (std::size_t i = 0; i < p_size; ++i)
    {
        text += digits[p_data[i] >> 4U];
        text += digits[p_data[i] & 15U];
    }
    return text;
}

bool has_uuid_format(std::string_view p_text)
{
    if (p_text.size() != uuid_length)
    {
        return false;
    }
    for (std::size_t i = 0; i < uuid_length; ++i)
    {
        const bool is_dash = i == 8 || i == 13 || i == 18 || i == 23;
        const auto c = static_cast<unsigned char>(p_text[i]);
        if (is_dash ? c != '-' : std::isxdigit(c) == 0)
        {
            return false;
        }
    }
    return true;
}

} // namespace

std::string sha256_hex(std::string_view p_text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(p_text.data()), p_text.size(),
           digest.data());
    return to_hex(digest.data(), digest.size());
}

std::string to_hex(std::uint64_t p_number)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(p_number));
    return text.data();
}

std::string hmac_sha256(std::string_view p_key, std::string_view p_text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), p_key.data(), static_cast<int>(p_key.size()),
         reinterpret_cast<const unsigned char*>(p_text.data()), p_text.size(),
         digest.data(), &size);
    return {reinterpret_cast<const char*>(digest.data()), size};
}

bool equal_constant_time(std::string_view p_left, std::string_view p_right)
{
    return p_left.size() == p_right.size() &&
           CRYPTO_memcmp(p_left.data(), p_right.data(), p_left.size()) == 0;
}

std::string random_hex(std::size_t p_bytes)
{
    std::string raw(p_bytes, '\0');
    auto* data = reinterpret_cast<unsigned char*>(raw.data());
    RAND_bytes(data, static_cast<int>(p_bytes));
    return to_hex(data, p_bytes);
}

std::string make_uuid7()
{
    std::array<char, 16> time{};
    std::snprintf(time.data(), time.size(), "%012llx",
                  static_cast<unsigned long long>(unix_ms()));
    const std::string timestamp(time.data());
    const std::string random_digits = random_hex(10);
    return timestamp.substr(0, 8) + "-" + timestamp.substr(8, 4) + "-7" +
           random_digits.substr(0, 3) + "-8" + random_digits.substr(3, 3) +
           "-" + random_digits.substr(6, 12);
}

std::int64_t uuid7_unix_ms(std::string_view p_text)
{
    if (!has_uuid_format(p_text) || p_text[uuid_version_index] != '7')
    {
        return -1;
    }
    std::string digits(p_text.substr(0, 8));
    digits += p_text.substr(9, 4);
    std::int64_t value = -1;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return value;
}

} // namespace peridotspar
