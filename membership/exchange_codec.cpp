#include "membership/exchange_codec.hpp"

#include <algorithm>
#include <array>
#include <bit>

namespace peridotspar
{

namespace
{

constexpr unsigned bits_per_byte = 8;
constexpr unsigned varint_bits = 7;
constexpr unsigned varint_continues = 0x80;
constexpr unsigned key_bytes = 8;
/// More items than a datagram can hold aren't read.
constexpr std::uint64_t max_items = 8'192;

constexpr std::array load_columns{
    &engine_load::requests_, &engine_load::kilotokens_,
    &engine_load::prefill_units_, &engine_load::tight_streams_};

class writer
{
public:
    void number(std::uint64_t p_value)
    {
        for (; p_value >= varint_continues; p_value >>= varint_bits)
        {
            bytes_ += static_cast<char>(p_value | varint_continues);
        }
        bytes_ += static_cast<char>(p_value);
    }
    void fixed(std::uint64_t p_value)
    {
        for (unsigned i = 0; i < key_bytes; ++i)
        {
            bytes_ += static_cast<char>(p_value >> (i * bits_per_byte));
        }
    }
    void text(const std::string& p_text)
    {
        number(p_text.size());
        bytes_ += p_text;
    }
    /// Writes the least value, the bits of the range, then the differences.
    void column(const std::vector<std::uint32_t>& p_values)
    {
        const auto [low, high] =
            std::minmax_element(p_values.begin(), p_values.end());
        const auto width = static_cast<unsigned>(std::bit_width(*high - *low));
        number(*low);
        number(width);
        std::uint64_t pending = 0;
        unsigned pending_bits = 0;
        for (const std::uint32_t value : p_values)
        {
            pending |= std::uint64_t{value - *low} << pending_bits;
            pending_bits += width;
            for (; pending_bits >= bits_per_byte; pending_bits -= bits_per_byte)
            {
                bytes_ += static_cast<char>(pending);
                pending >>= bits_per_byte;
            }
        }
        if (pending_bits > 0)
        {
            bytes_ += static_cast<char>(pending);
        }
    }

    std::string bytes_;
};

/// Reads what `writer` wrote. After bytes that aren't valid, `failed_` is set
/// and all values read are 0.
class reader
{
public:
    explicit reader(std::string_view p_bytes) : bytes_(p_bytes) {}

    std::uint64_t byte()
    {
        if (bytes_.empty())
        {
            failed_ = true;
            return 0;
        }
        const auto value = static_cast<unsigned char>(bytes_.front());
        bytes_.remove_prefix(1);
        return value;
    }
    std::uint64_t number()
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < 64; shift += varint_bits)
        {
            const std::uint64_t next = byte();
            value |= (next % varint_continues) << shift;
            if (next < varint_continues)
            {
                return value;
            }
        }
        failed_ = true;
        return 0;
    }
    std::uint32_t number32()
    {
        const std::uint64_t value = number();
        failed_ = failed_ || value > ~std::uint32_t{0};
        return failed_ ? 0 : static_cast<std::uint32_t>(value);
    }
    std::uint64_t fixed()
    {
        std::uint64_t value = 0;
        for (unsigned i = 0; i < key_bytes; ++i)
        {
            value |= byte() << (i * bits_per_byte);
        }
        return value;
    }
    std::string text()
    {
        const std::uint64_t size = number();
        if (size > bytes_.size())
        {
            failed_ = true;
            return {};
        }
        std::string value(bytes_.substr(0, size));
        bytes_.remove_prefix(size);
        return value;
    }
    std::uint64_t count()
    {
        const std::uint64_t value = number();
        failed_ = failed_ || value > max_items;
        return failed_ ? 0 : value;
    }
    std::vector<std::uint32_t> column(std::size_t p_count)
    {
        const std::uint32_t low = number32();
        const std::uint64_t width = number();
        failed_ = failed_ || width > 32;
        std::vector<std::uint32_t> values(p_count, low);
        std::uint64_t pending = 0;
        std::uint64_t pending_bits = 0;
        for (std::size_t i = 0; i < p_count && !failed_ && width > 0; ++i)
        {
            for (; pending_bits < width; pending_bits += bits_per_byte)
            {
                pending |= byte() << pending_bits;
            }
            values[i] += static_cast<std::uint32_t>(
                pending & ((std::uint64_t{1} << width) - 1));
            pending >>= width;
            pending_bits -= width;
        }
        return values;
    }
    [[nodiscard]] bool is_complete() const
    {
        return !failed_ && bytes_.empty();
    }

private:
    std::string_view bytes_;
    bool failed_ = false;
};

void put(writer& r_out, const node_version& p_version)
{
    r_out.number(static_cast<std::uint64_t>(p_version.started_ms_));
    r_out.number(p_version.sequence_);
}

void get(reader& r_in, node_version& r_version)
{
    r_version.started_ms_ = static_cast<std::int64_t>(r_in.number());
    r_version.sequence_ = r_in.number32();
}

void put(writer& r_out, const engine_loads& p_loads)
{
    r_out.number(p_loads.size());
    if (p_loads.empty())
    {
        return;
    }
    std::vector<std::uint32_t> values;
    std::uint32_t last = 0;
    for (const auto& [engine, load] : p_loads)
    {
        // Numbers of a stripe are the same modulo the number of stripes, so
        // the distances of their quotients are small.
        values.push_back(engine / stripe_count - last);
        last = engine / stripe_count;
    }
    r_out.column(values);
    for (const auto column : load_columns)
    {
        values.clear();
        for (const auto& [engine, load] : p_loads)
        {
            values.push_back(load.*column);
        }
        r_out.column(values);
    }
}

void get(reader& r_in, std::uint32_t p_stripe, engine_loads& r_loads)
{
    const std::uint64_t count = r_in.count();
    if (count == 0)
    {
        return;
    }
    const auto distances = r_in.column(count);
    std::array<std::vector<std::uint32_t>, load_columns.size()> columns;
    for (auto& column : columns)
    {
        column = r_in.column(count);
    }
    std::uint32_t quotient = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        quotient += distances[i];
        engine_load load;
        for (std::size_t c = 0; c < columns.size(); ++c)
        {
            load.*load_columns[c] = columns[c][i];
        }
        r_loads.emplace_hint(r_loads.end(), quotient * stripe_count + p_stripe,
                             load);
    }
}

void put(writer& r_out, const forwarding& p_forwarding)
{
    r_out.number(p_forwarding.parts_);
    r_out.number(p_forwarding.part_);
}

void get(reader& r_in, forwarding& r_forwarding)
{
    r_forwarding.parts_ = r_in.number32();
    r_forwarding.part_ = r_in.number32();
}

void put(writer& r_out, const std::vector<versioned_key>& p_keys)
{
    r_out.number(p_keys.size());
    for (const auto& item : p_keys)
    {
        r_out.fixed(item.key_.value());
        put(r_out, item.version_);
    }
}

void get(reader& r_in, std::vector<versioned_key>& r_keys)
{
    r_keys.resize(r_in.count());
    for (auto& item : r_keys)
    {
        item.key_ = node_key(r_in.fixed());
        get(r_in, item.version_);
    }
}

void put(writer& r_out, const node_record& p_record)
{
    r_out.text(p_record.address_);
    r_out.text(p_record.caller_address_);
    r_out.text(p_record.failure_domain_.value());
    put(r_out, p_record.version_);
    r_out.number((p_record.ready_ ? 1U : 0U) | (p_record.leaving_ ? 2U : 0U) |
                 (p_record.in_contact_ ? 4U : 0U));
    r_out.number(static_cast<std::uint64_t>(p_record.config_version_));
    r_out.number(static_cast<std::uint64_t>(p_record.servers_revision_));
    r_out.number(p_record.suspects_.size());
    for (const auto& suspect : p_record.suspects_)
    {
        r_out.fixed(suspect.fingerprint_);
        r_out.number(suspect.crashes_);
    }
}

void get(reader& r_in, node_record& r_record)
{
    r_record.address_ = r_in.text();
    r_record.caller_address_ = r_in.text();
    r_record.failure_domain_ = failure_domain_id(r_in.text());
    get(r_in, r_record.version_);
    const std::uint64_t flags = r_in.number();
    r_record.ready_ = (flags & 1U) != 0;
    r_record.leaving_ = (flags & 2U) != 0;
    r_record.in_contact_ = (flags & 4U) != 0;
    r_record.config_version_ = static_cast<std::int64_t>(r_in.number());
    r_record.servers_revision_ = static_cast<std::int64_t>(r_in.number());
    r_record.suspects_.resize(r_in.count());
    for (auto& suspect : r_record.suspects_)
    {
        suspect.fingerprint_ = r_in.fixed();
        suspect.crashes_ = r_in.number32();
    }
}

void put(writer& r_out, const load_report& p_report)
{
    r_out.number(p_report.stripe_);
    put(r_out, p_report.record_version_);
    r_out.number(p_report.sequence_);
    put(r_out, p_report.loads_);
}

void get(reader& r_in, load_report& r_report)
{
    r_report.stripe_ = r_in.number32();
    get(r_in, r_report.record_version_);
    r_report.sequence_ = r_in.number32();
    get(r_in, r_report.stripe_, r_report.loads_);
}

void put(writer& r_out, const load_publication& p_publication)
{
    r_out.number(p_publication.stripe_);
    r_out.fixed(p_publication.home_.value());
    put(r_out, p_publication.version_);
    r_out.number(static_cast<std::uint64_t>(to_ms(p_publication.age_)));
    r_out.number((p_publication.has_loads_ ? 1U : 0U) |
                 (p_publication.observes_ ? 2U : 0U));
    put(r_out, p_publication.loads_);
    r_out.number(p_publication.silent_.size());
    for (const node_key key : p_publication.silent_)
    {
        r_out.fixed(key.value());
    }
    r_out.fixed(p_publication.records_hash_);
    put(r_out, p_publication.forwarding_);
}

void get(reader& r_in, load_publication& r_publication)
{
    r_publication.stripe_ = r_in.number32();
    r_publication.home_ = node_key(r_in.fixed());
    get(r_in, r_publication.version_);
    r_publication.age_ = std::chrono::milliseconds(r_in.number32());
    const std::uint64_t flags = r_in.number();
    r_publication.has_loads_ = (flags & 1U) != 0;
    r_publication.observes_ = (flags & 2U) != 0;
    get(r_in, r_publication.stripe_, r_publication.loads_);
    r_publication.silent_.resize(r_in.count());
    for (auto& key : r_publication.silent_)
    {
        key = node_key(r_in.fixed());
    }
    r_publication.records_hash_ = r_in.fixed();
    get(r_in, r_publication.forwarding_);
}

void put(writer& r_out, const record_update& p_update)
{
    r_out.number((p_update.answer_wanted_ ? 1U : 0U) |
                 (p_update.spread_wanted_ ? 2U : 0U) |
                 (p_update.hearsay_ ? 4U : 0U));
    put(r_out, p_update.forwarding_);
    r_out.number(p_update.records_.size());
    for (const auto& record : p_update.records_)
    {
        put(r_out, record);
    }
    put(r_out, p_update.dead_);
    put(r_out, p_update.wanted_);
}

void get(reader& r_in, record_update& r_update)
{
    const std::uint64_t flags = r_in.number();
    r_update.answer_wanted_ = (flags & 1U) != 0;
    r_update.spread_wanted_ = (flags & 2U) != 0;
    r_update.hearsay_ = (flags & 4U) != 0;
    get(r_in, r_update.forwarding_);
    r_update.records_.resize(r_in.count());
    for (auto& record : r_update.records_)
    {
        get(r_in, record);
    }
    get(r_in, r_update.dead_);
    get(r_in, r_update.wanted_);
}

void put(writer& r_out, const record_request& p_request)
{
    r_out.fixed(p_request.first_.value());
    r_out.fixed(p_request.last_.value());
    put(r_out, p_request.held_);
}

void get(reader& r_in, record_request& r_request)
{
    r_request.first_ = node_key(r_in.fixed());
    r_request.last_ = node_key(r_in.fixed());
    get(r_in, r_request.held_);
}

void put(writer& r_out, const dead_notice& p_notice)
{
    put(r_out, p_notice.version_);
}

void get(reader& r_in, dead_notice& r_notice)
{
    get(r_in, r_notice.version_);
}

template <std::size_t Index>
std::optional<exchange_message> decode_as(std::string_view p_bytes)
{
    reader in(p_bytes);
    std::variant_alternative_t<Index, exchange_message> message;
    get(in, message);
    if (!in.is_complete())
    {
        return std::nullopt;
    }
    return message;
}

} // namespace

std::string encode(const exchange_message& p_message)
{
    writer out;
    out.number(p_message.index());
    std::visit([&out](const auto& p_content) { put(out, p_content); },
               p_message);
    return std::move(out.bytes_);
}

std::optional<exchange_message> decode_exchange(std::string_view p_bytes)
{
    if (p_bytes.empty())
    {
        return std::nullopt;
    }
    const auto index = static_cast<unsigned char>(p_bytes.front());
    const std::string_view content = p_bytes.substr(1);
    switch (index)
    {
    case 0:
        return decode_as<0>(content);
    case 1:
        return decode_as<1>(content);
    case 2:
        return decode_as<2>(content);
    case 3:
        return decode_as<3>(content);
    case 4:
        return decode_as<4>(content);
    default:
        return std::nullopt;
    }
}

} // namespace peridotspar
