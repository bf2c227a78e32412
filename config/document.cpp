#include "config/document.hpp"

#include <functional>
#include <set>

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

namespace peridotspar
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t max_name_length = 64;
constexpr std::int64_t max_tiers = 6;
constexpr std::int64_t max_target_ms = 3'600'000;

/// Reads the fields of one JSON object and collects the errors in them.
class object_reader
{
public:
    object_reader(const json& p_object, std::string p_path,
                  std::vector<document_error>& r_errors)
        : object_(p_object), path_(std::move(p_path)), errors_(r_errors)
    {
        if (!object_.is_object())
        {
            add_error("", "must be an object");
        }
    }

    void add_error(const std::string& p_key, const std::string& p_message)
    {
        errors_.push_back(
            {p_key.empty() ? path_ : path_ + "." + p_key, p_message});
    }

    /// Returns the field with the given name, or null if it is missing. A
    /// missing required field is an error.
    const json* find_field(const std::string& p_key, bool p_required)
    {
        requested_.insert(p_key);
        if (!object_.is_object())
        {
            return nullptr;
        }
        const auto found = object_.find(p_key);
        if (found != object_.end())
        {
            return &*found;
        }
        if (p_required)
        {
            add_error(p_key, "is missing");
        }
        return nullptr;
    }

    std::string read_string(const std::string& p_key, bool p_required = true)
    {
        const json* value = find_field(p_key, p_required);
        if (value == nullptr)
        {
            return {};
        }
        if (!value->is_string() || value->get<std::string>().empty())
        {
            add_error(p_key, "must be a text that is not empty");
            return {};
        }
        return value->get<std::string>();
    }

    std::string read_name()
    {
        std::string value = read_string("name");
        const bool has_valid_characters =
            value.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                    "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                    "0123456789-_.") == std::string::npos;
        if (!has_valid_characters || value.size() > max_name_length)
        {
            add_error("name", "may hold letters, digits, '-', '_' and '.', "
                              "64 at most");
        }
        return value;
    }

    std::string read_key_hash()
    {
        std::string value = read_string("key_sha256");
        const bool is_hex =
            value.size() == 64 &&
            value.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!value.empty() && !is_hex)
        {
            add_error("key_sha256", "must be 64 lower-case hexadecimal digits");
        }
        return value;
    }

    double read_number(const std::string& p_key, double p_default, double p_min,
                       double p_max, bool p_required = false)
    {
        const json* value = find_field(p_key, p_required);
        if (value == nullptr)
        {
            return p_default;
        }
        if (!value->is_number() || value->get<double>() < p_min ||
            value->get<double>() > p_max)
        {
            add_error(p_key, "must be a number from " + json(p_min).dump() +
                                 " to " + json(p_max).dump());
            return p_default;
        }
        return value->get<double>();
    }

    std::int64_t read_integer(const std::string& p_key, std::int64_t p_default,
                              std::int64_t p_min, std::int64_t p_max,
                              bool p_required = false)
    {
        const json* value = find_field(p_key, p_required);
        if (value == nullptr)
        {
            return p_default;
        }
        if (!value->is_number_integer() || value->get<std::int64_t>() < p_min ||
            value->get<std::int64_t>() > p_max)
        {
            add_error(p_key, "must be a whole number from " +
                                 std::to_string(p_min) + " to " +
                                 std::to_string(p_max));
            return p_default;
        }
        return value->get<std::int64_t>();
    }

    bool read_bool(const std::string& p_key)
    {
        const json* value = find_field(p_key, false);
        if (value == nullptr)
        {
            return false;
        }
        if (!value->is_boolean())
        {
            add_error(p_key, "must be true or false");
            return false;
        }
        return value->get<bool>();
    }

    /// Adds an error for every field that was not requested.
    void reject_unknown_fields()
    {
        if (!object_.is_object())
        {
            return;
        }
        for (const auto& [key, value] : object_.items())
        {
            if (!requested_.contains(key))
            {
                add_error(key, "is not a known field");
            }
        }
    }

    [[nodiscard]] const std::string& path() const { return path_; }

private:
    const json& object_;
    std::string path_;
    std::vector<document_error>& errors_;
    std::set<std::string> requested_;
};

/// Reads a list of objects with unique names, each with `p_read`.
template <class Item>
void read_list(object_reader& p_root, const std::string& p_key,
               std::vector<document_error>& r_errors,
               std::vector<Item>& r_items,
               const std::function<Item(object_reader&)>& p_read)
{
    const json* list = p_root.find_field(p_key, true);
    if (list == nullptr)
    {
        return;
    }
    if (!list->is_array())
    {
        r_errors.push_back({p_key, "must be a list"});
        return;
    }
    std::set<std::string> names;
    for (std::size_t i = 0; i < list->size(); ++i)
    {
        object_reader item((*list)[i], p_key + "[" + std::to_string(i) + "]",
                           r_errors);
        r_items.push_back(p_read(item));
        if (!names.insert(r_items.back().name_).second)
        {
            item.add_error("name", "is used twice");
        }
        item.reject_unknown_fields();
    }
}

class_spec read_class(object_reader& p_item)
{
    class_spec spec;
    spec.name_ = p_item.read_name();
    spec.tier_ = tier(static_cast<std::uint8_t>(
        p_item.read_integer("tier", 0, 0, max_tiers - 1, true)));
    spec.first_token_target_ = std::chrono::milliseconds(
        p_item.read_integer("first_token_ms", 1800, 1, max_target_ms));
    spec.inter_token_target_ = std::chrono::milliseconds(
        p_item.read_integer("inter_token_ms", 34, 1, max_target_ms));
    spec.max_wait_ = std::chrono::milliseconds(
        p_item.read_integer("max_wait_ms", 2000, 1, 30'000));
    return spec;
}

account_spec read_account(object_reader& p_item)
{
    constexpr double max_cap_tokens_per_s = 1e9;
    account_spec spec;
    spec.name_ = p_item.read_name();
    spec.key_sha256_ = p_item.read_key_hash();
    spec.default_class_ = p_item.read_string("default_class");
    spec.cap_tokens_per_s_ = p_item.read_number("cap_tokens_per_s", 0, 1,
                                                max_cap_tokens_per_s, true);
    spec.cap_concurrent_ = static_cast<std::uint32_t>(
        p_item.read_integer("cap_concurrent", 0, 1, 1'000'000, true));
    spec.weight_ = p_item.read_number("weight", 1, 0.01, 1000);
    return spec;
}

backend_kind read_kind(object_reader& p_item)
{
    const std::string kind = p_item.read_string("kind");
    if (!kind.empty() && kind != "engine" && kind != "service")
    {
        p_item.add_error("kind", "must be engine or service");
    }
    return kind == "service" ? backend_kind::service : backend_kind::engine;
}

std::vector<std::string> read_names(object_reader& p_item,
                                    const std::string& p_key)
{
    std::vector<std::string> names;
    const json* list = p_item.find_field(p_key, true);
    if (list == nullptr)
    {
        return names;
    }
    if (!list->is_array())
    {
        p_item.add_error(p_key, "must be a list of names");
        return names;
    }
    for (const auto& name : *list)
    {
        if (!name.is_string() || name.get<std::string>().empty())
        {
            p_item.add_error(p_key, "must be a list of names");
            return names;
        }
        names.push_back(name.get<std::string>());
    }
    return names;
}

backend_spec read_backend(object_reader& p_item)
{
    backend_spec spec;
    spec.name_ = p_item.read_name();
    spec.address_ = p_item.read_string("address");
    in_addr parsed{};
    if (!spec.address_.empty() &&
        inet_pton(AF_INET, spec.address_.c_str(), &parsed) != 1)
    {
        p_item.add_error("address", "must be an IPv4 number");
    }
    spec.port_ = static_cast<std::uint16_t>(
        p_item.read_integer("port", 0, 1, 65535, true));
    spec.kind_ = read_kind(p_item);
    spec.pools_ = read_names(p_item, "pools");
    spec.slots_ =
        static_cast<std::uint32_t>(p_item.read_integer("slots", 8, 1, 4096));
    spec.failure_domain_ =
        failure_domain_id(p_item.read_string("failure_domain"));
    spec.version_ = p_item.read_string("version", false);
    spec.draining_ = p_item.read_bool("draining");
    spec.checks_fencing_ = p_item.read_bool("checks_fencing");
    return spec;
}

operator_spec read_operator(object_reader& p_item)
{
    operator_spec spec;
    spec.name_ = p_item.read_name();
    spec.key_sha256_ = p_item.read_key_hash();
    return spec;
}

/// Checks that references to classes, models and services name existing ones.
void check_references(const document& p_document,
                      std::vector<document_error>& r_errors)
{
    std::set<std::string> classes;
    for (const auto& spec : p_document.classes_)
    {
        classes.insert(spec.name_);
    }
    for (std::size_t i = 0; i < p_document.accounts_.size(); ++i)
    {
        if (!classes.contains(p_document.accounts_[i].default_class_))
        {
            r_errors.push_back(
                {"accounts[" + std::to_string(i) + "].default_class",
                 "names no class"});
        }
    }
    const std::set<std::string> models(p_document.models_.begin(),
                                       p_document.models_.end());
    const std::set<std::string> services(p_document.services_.begin(),
                                         p_document.services_.end());
    for (std::size_t i = 0; i < p_document.backends_.size(); ++i)
    {
        const auto& backend = p_document.backends_[i];
        const bool is_engine = backend.kind_ == backend_kind::engine;
        const auto& known = is_engine ? models : services;
        for (std::size_t j = 0; j < backend.pools_.size(); ++j)
        {
            if (!known.contains(backend.pools_[j]))
            {
                r_errors.push_back(
                    {"backend_servers[" + std::to_string(i) + "].pools[" +
                         std::to_string(j) + "]",
                     is_engine ? "names no model" : "names no service"});
            }
        }
    }
}

/// Checks that no two client accounts have the same key, because the key
/// identifies the account.
void check_keys(const document& p_document,
                std::vector<document_error>& r_errors)
{
    std::set<std::string> keys;
    for (std::size_t i = 0; i < p_document.accounts_.size(); ++i)
    {
        if (!keys.insert(p_document.accounts_[i].key_sha256_).second)
        {
            r_errors.push_back(
                {"accounts[" + std::to_string(i) + "].key_sha256",
                 "is used twice"});
        }
    }
}

} // namespace

tl::expected<document, std::vector<document_error>>
parse_document(std::string_view p_json)
{
    std::vector<document_error> errors;
    const json root = json::parse(p_json, nullptr, false);
    if (root.is_discarded())
    {
        errors.push_back({"", "is not valid JSON"});
        return tl::unexpected(errors);
    }
    document parsed;
    object_reader reader(root, "document", errors);
    read_list<class_spec>(reader, "classes", errors, parsed.classes_,
                          read_class);
    read_list<account_spec>(reader, "accounts", errors, parsed.accounts_,
                            read_account);
    parsed.models_ = read_names(reader, "models");
    parsed.services_ = read_names(reader, "services");
    read_list<backend_spec>(reader, "backend_servers", errors, parsed.backends_,
                            read_backend);
    read_list<operator_spec>(reader, "operators", errors, parsed.operators_,
                             read_operator);
    reader.reject_unknown_fields();
    if (parsed.classes_.empty() && errors.empty())
    {
        errors.push_back({"classes", "must hold one class or more"});
    }
    if (parsed.operators_.empty() && errors.empty())
    {
        errors.push_back({"operators", "must hold one operator or more"});
    }
    check_references(parsed, errors);
    check_keys(parsed, errors);
    if (!errors.empty())
    {
        return tl::unexpected(errors);
    }
    return parsed;
}

std::string errors_to_json(const std::vector<document_error>& p_errors)
{
    json list = json::array();
    for (const auto& error : p_errors)
    {
        list.push_back({{"path", error.path_}, {"message", error.message_}});
    }
    return list.dump();
}

} // namespace peridotspar
